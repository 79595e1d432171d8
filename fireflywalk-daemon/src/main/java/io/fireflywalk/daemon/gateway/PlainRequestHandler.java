package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.admission.AdmissionGate;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Set;
import java.util.UUID;

/** Passes requests to plain services and their answers to callers, both as streams. Confined to one event loop. */
public final class PlainRequestHandler {
    private final HttpClient client;
    private final TargetPool pool;
    private final AdmissionGate admission;
    private final UsageRecorder usage;

    public PlainRequestHandler(HttpClient client, TargetPool pool, AdmissionGate admission, UsageRecorder usage) {
        this.client = client;
        this.pool = pool;
        this.admission = admission;
        this.usage = usage;
    }

    /** Handles a request whose key is valid, or whose route is open to all. */
    public void handle(RequestScope scope, RoutedService routed) {
        scope.request().pause();
        admission
                .admitPlain(
                        scope.clientAccount(),
                        routed.service().name(),
                        routed.service().defaultDeadlineMilliseconds())
                .compose(ignored -> {
                    try {
                        send(scope, routed);
                        return Future.succeededFuture();
                    } catch (FireflywalkException exception) {
                        return Future.failedFuture(exception);
                    }
                })
                .onFailure(cause -> ErrorResponder.respond(
                        scope.request().response(),
                        scope.requestId(),
                        cause instanceof FireflywalkException known
                                ? known
                                : new FireflywalkException(ErrorKind.INTERNAL, "admission failed", "gateway", cause)));
    }

    private void send(RequestScope scope, RoutedService routed) throws FireflywalkException {
        Target target = pool.choose(scope.snapshot(), routed.service().name(), scope.requestId(), Set.of());
        pool.attemptStarted(target);
        RequestOptions options = new RequestOptions()
                .setMethod(scope.request().method())
                .setHost(target.host())
                .setPort(target.port())
                .setURI(scope.request().uri());
        client.request(options)
                .compose(request -> {
                    HeaderFilter.copyToTarget(scope.request().headers(), request.headers());
                    request.putHeader("x-request-id", scope.requestId())
                            .putHeader("x-attempt-id", UUID.randomUUID().toString());
                    String length = scope.request().getHeader("content-length");
                    if (length != null) {
                        request.putHeader("content-length", length);
                    } else {
                        request.setChunked(true);
                    }
                    return request.send(scope.request());
                })
                .compose(answer -> forward(scope, answer))
                .onSuccess(ignored -> {
                    pool.attemptEnded(target);
                    usage.record(scope.clientAccount(), routed.service().name(), 0, 0);
                })
                .onFailure(cause -> {
                    pool.attemptEnded(target);
                    ErrorResponder.respond(
                            scope.request().response(),
                            scope.requestId(),
                            new FireflywalkException(
                                    ErrorKind.TARGET_FAILED, "the target failed", "target " + target.name(), cause));
                });
    }

    private static Future<Void> forward(RequestScope scope, HttpClientResponse answer) {
        HttpServerResponse response = scope.request().response();
        response.setStatusCode(answer.statusCode());
        HeaderFilter.copyToCaller(answer.headers(), response.headers());
        if (!response.headers().contains("content-length")) {
            response.setChunked(true);
        }
        return answer.pipeTo(response);
    }
}
