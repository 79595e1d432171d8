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
 * Call of a model that is answered as a whole, and the part that it shares with streams. Generation has no effect beside
 * the answer, so attempts may be repeated. Confined to one event loop.
 */
class ModelCall extends TargetCall {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final TokenUsage NO_USAGE = new TokenUsage(0, 0);

    private final ModelRequest model;
    private final RequestFeatures features;
    private final BodyCollector collector;
    private final List<AnswerBody> answers = new ArrayList<>();

    ModelCall(
            GatewayContext context,
            RequestScope scope,
            ModelRequest model,
            RequestFeatures features,
            BodyCollector collector,
            Duration deadline) {
        super(context, scope, model.model(), true, deadline);
        this.model = model;
        this.features = features;
        this.collector = collector;
    }

    /** Starts the call, with a second attempt for short requests if the settings ask for it. */
    final void beginWithHedge() {
        begin();
        boolean hedged = !model.stream()
                && context()
                        .retries()
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
    Duration headLimit() {
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
    final boolean engine() {
        return true;
    }

    @Override
    boolean resuming() {
        return false;
    }

    @Override
    boolean repeatable() {
        return true;
    }

    @Override
    void release() {
        collector.release();
        answers.forEach(AnswerBody::release);
    }

    @Override
    public final void write(TargetAttempt attempt, HttpClientRequest request) {
        writeHeaders(attempt, request, false);
        request.putHeader("content-type", "application/json");
        request.putHeader("x-priority", "normal");
        request.end(body(request));
    }

    /** Returns the body of the next attempt and adds the headers that go with it. */
    Buffer body(HttpClientRequest request) {
        return model.body();
    }

    @Override
    void answer(TargetAttempt attempt, HttpClientResponse response) {
        answerWhole(attempt, response);
    }

    /** Passes an answer on once it is complete. */
    final void answerWhole(TargetAttempt attempt, HttpClientResponse response) {
        if (!AnswerBody.endIsMarked(response)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer does not mark its end", null);
            return;
        }
        AnswerBody answer = new AnswerBody(context(), attempt);
        answers.add(answer);
        answer.collect(response, body -> wholeAnswerArrived(attempt, response, body));
    }

    private void wholeAnswerArrived(TargetAttempt attempt, HttpClientResponse response, Buffer body) {
        boolean error = response.statusCode() >= FIRST_ERROR_STATUS;
        Optional<TokenUsage> usage = error ? Optional.of(NO_USAGE) : TokenUsage.ofAnswer(body);
        if (usage.isEmpty()) {
            attempt.fail(ErrorKind.ANSWER_TRUNCATED, "the answer is not a JSON object", null);
            return;
        }
        attemptCompleted(attempt);
        succeed(attempt, usage.get().promptTokens(), usage.get().generatedTokens(), () -> {
            copyHead(response);
            endWith(body);
        });
    }

    final ModelRequest model() {
        return model;
    }
}
