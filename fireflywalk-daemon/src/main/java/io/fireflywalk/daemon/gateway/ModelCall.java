package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.routing.RequestFeatures;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Call of a model with a non-streamed response, and base of streamed calls. Generation has no side effects, so attempts
 * may be retried. Confined to one event loop.
 */
class ModelCall extends TargetCall {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final TokenUsage NO_USAGE = new TokenUsage(0, 0);

    private final ModelRequest model;
    private final RequestFeatures features;
    private final RequestBodyCollector collector;
    private final List<ResponseBodyCollector> responseBodies = new ArrayList<>();

    ModelCall(
            GatewayContext context,
            RequestScope scope,
            ModelRequest model,
            RequestFeatures features,
            RequestBodyCollector collector,
            Duration deadline) {
        super(context, scope, model.model(), true, deadline);
        this.model = model;
        this.features = features;
        this.collector = collector;
    }

    /** Starts the call and, for short requests if the settings enable it, schedules a hedged attempt. */
    final void startWithHedge() {
        start();
        boolean hedged = !model.stream()
                && context()
                        .retryController()
                        .hedgePolicy()
                        .allows(true, model.bodyBytes(), model.maximumTokens().orElse(0));
        if (hedged) {
            var unused = context()
                    .timers()
                    .after(Duration.ofMillis(context().settings().retries().hedgeMilliseconds()))
                    .subscribe(this::hedge);
        }
    }

    @Override
    final Optional<RequestFeatures> features() {
        return Optional.of(features);
    }

    @Override
    boolean eligible(Target target) {
        return true;
    }

    @Override
    Duration headerTimeout() {
        return Duration.ofMillis(context().settings().targets().wholeAnswerMilliseconds());
    }

    @Override
    final HttpMethod method() {
        return HttpMethod.POST;
    }

    @Override
    final String uri() {
        return scope().request().path();
    }

    @Override
    final boolean targetsAreEngines() {
        return true;
    }

    @Override
    boolean isResume() {
        return false;
    }

    @Override
    boolean canRetry() {
        return true;
    }

    @Override
    void release() {
        collector.release();
        responseBodies.forEach(ResponseBodyCollector::release);
    }

    @Override
    public final void writeRequest(TargetAttempt attempt, HttpClientRequest request) {
        writeHeaders(attempt, request, false);
        request.putHeader("content-type", "application/json");
        request.putHeader("x-priority", "normal");
        request.end(body(request));
    }

    /** Returns the body of the next attempt and adds the headers that depend on it. */
    Buffer body(HttpClientRequest request) {
        return model.body();
    }

    @Override
    void handleResponse(TargetAttempt attempt, HttpClientResponse response) {
        collectResponse(attempt, response);
    }

    /** Collects the response body and forwards it to the caller once it is complete. */
    final void collectResponse(TargetAttempt attempt, HttpClientResponse response) {
        if (!ResponseBodyCollector.isDelimited(response)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer does not mark its end", null);
            return;
        }
        ResponseBodyCollector responseBody = new ResponseBodyCollector(context(), attempt);
        responseBodies.add(responseBody);
        responseBody.collect(response, body -> relayResponse(attempt, response, body));
    }

    private void relayResponse(TargetAttempt attempt, HttpClientResponse response, Buffer body) {
        boolean errorStatus = response.statusCode() >= FIRST_ERROR_STATUS;
        Optional<TokenUsage> usage = errorStatus ? Optional.of(NO_USAGE) : TokenUsage.ofBody(body);
        if (usage.isEmpty()) {
            attempt.fail(ErrorKind.ANSWER_TRUNCATED, "the answer is not a JSON object", null);
            return;
        }
        attemptCompleted(attempt);
        succeed(attempt, usage.get().promptTokens(), usage.get().generatedTokens(), () -> {
            copyResponseHead(response);
            endResponse(body);
        });
    }

    final ModelRequest model() {
        return model;
    }
}
