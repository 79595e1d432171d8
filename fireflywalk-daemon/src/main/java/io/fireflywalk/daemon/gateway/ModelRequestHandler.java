package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.PrefixDigest;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.daemon.admission.AdmissionGate;
import io.fireflywalk.daemon.routing.RunnerAttempt;
import io.fireflywalk.daemon.routing.RunnerRouter;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Set;
import java.util.UUID;

/** Sends completion requests to runners and streams their answers to callers. Confined to one event loop. */
public final class ModelRequestHandler {
    private final HttpClient client;
    private static final int DEFAULT_OUTPUT_TOKENS = 256;
    private static final int BYTES_PER_TOKEN = 4;

    private final TargetPool pool;
    private final RunnerRouter router;
    private final AdmissionGate admission;
    private final UsageRecorder usage;
    private final DaemonSettings settings;

    public ModelRequestHandler(
            HttpClient client,
            TargetPool pool,
            RunnerRouter router,
            AdmissionGate admission,
            UsageRecorder usage,
            DaemonSettings settings) {
        this.client = client;
        this.pool = pool;
        this.router = router;
        this.admission = admission;
        this.usage = usage;
        this.settings = settings;
    }

    /** Handles a request whose key is valid. */
    public void handle(RequestScope scope) {
        Buffer body = Buffer.buffer();
        boolean[] refused = {false};
        scope.request().handler(chunk -> {
            if (refused[0]) {
                return;
            }
            if (body.length() + chunk.length() > settings.limits().bodyBytes()) {
                refused[0] = true;
                fail(scope, new FireflywalkException(ErrorKind.BODY_TOO_LARGE, "the body is too large", "gateway"));
                return;
            }
            body.appendBuffer(chunk);
        });
        scope.request().endHandler(ignored -> {
            if (!refused[0]) {
                route(scope, body);
            }
        });
    }

    private void route(RequestScope scope, Buffer body) {
        try {
            ModelRequest model = ModelRequest.parse(body);
            Service service = scope.snapshot()
                    .service(model.model())
                    .orElseThrow(
                            () -> new FireflywalkException(ErrorKind.UNKNOWN_MODEL, "unknown model", "request body"));
            RequestFeatures features = new RequestFeatures(
                    body.length() / BYTES_PER_TOKEN,
                    model.maximumTokens().orElse(DEFAULT_OUTPUT_TOKENS),
                    0,
                    service.defaultDeadlineMilliseconds() / 1e3,
                    PrefixDigest.of(body.getBytes()),
                    Set.of());
            admission
                    .admitModel(
                            scope.clientAccount(),
                            service.name(),
                            features.promptTokens(),
                            features.expectedOutputTokens(),
                            service.defaultDeadlineMilliseconds())
                    .onSuccess(ignored -> choose(scope, model, features, body))
                    .onFailure(cause -> fail(scope, refused(cause)));
        } catch (FireflywalkException exception) {
            fail(scope, exception);
        }
    }

    private void choose(RequestScope scope, ModelRequest model, RequestFeatures features, Buffer body) {
        try {
            RunnerAttempt attempt = router.choose(scope.snapshot(), model.model(), scope.requestId(), features);
            send(scope, model, attempt, body);
        } catch (FireflywalkException exception) {
            fail(scope, exception);
        }
    }

    private void send(RequestScope scope, ModelRequest model, RunnerAttempt attempt, Buffer body) {
        Target target = attempt.target();
        String attemptId = UUID.randomUUID().toString();
        pool.attemptStarted(target);
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(target.host())
                .setPort(target.port())
                .setURI(scope.request().path());
        client.request(options)
                .compose(request -> {
                    HeaderFilter.copyToTarget(scope.request().headers(), request.headers());
                    request.putHeader("x-request-id", scope.requestId()).putHeader("x-attempt-id", attemptId);
                    scope.request().response().closeHandler(ignored -> request.reset());
                    return request.send(body);
                })
                .onSuccess(answer -> forward(scope, model, attempt, answer))
                .onFailure(cause -> {
                    pool.attemptEnded(target);
                    attempt.failed();
                    fail(scope, failed(target, cause));
                });
    }

    private void forward(RequestScope scope, ModelRequest model, RunnerAttempt attempt, HttpClientResponse answer) {
        Target target = attempt.target();
        HttpServerResponse response = scope.request().response();
        response.setStatusCode(answer.statusCode());
        HeaderFilter.copyToCaller(answer.headers(), response.headers());
        if (!response.headers().contains("content-length")) {
            response.setChunked(true);
        }
        UsageScanner scanner = new UsageScanner();
        answer.handler(chunk -> {
            attempt.progressed();
            scanner.accept(chunk);
            response.write(chunk);
            if (response.writeQueueFull()) {
                answer.pause();
                response.drainHandler(ignored -> answer.resume());
            }
        });
        answer.exceptionHandler(cause -> {
            pool.attemptEnded(target);
            attempt.failed();
            fail(scope, failed(target, cause));
        });
        answer.endHandler(ignored -> {
            pool.attemptEnded(target);
            attempt.ended();
            usage.record(scope.clientAccount(), model.model(), scanner.promptTokens(), scanner.generatedTokens());
            response.end();
        });
    }

    private static FireflywalkException failed(Target target, Throwable cause) {
        return new FireflywalkException(ErrorKind.TARGET_FAILED, "the target failed", "target " + target.name(), cause);
    }

    private static FireflywalkException refused(Throwable cause) {
        return cause instanceof FireflywalkException known
                ? known
                : new FireflywalkException(ErrorKind.INTERNAL, "admission failed", "admission", cause);
    }

    private static void fail(RequestScope scope, FireflywalkException exception) {
        ErrorResponder.respond(scope.request().response(), scope.requestId(), exception);
    }
}
