package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.reactivex.rxjava3.disposables.Disposable;
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
    private final UsageRecorder usage;

    public PlainRequestHandler(HttpClient client, TargetPool pool, UsageRecorder usage) {
        this.client = client;
        this.pool = pool;
        this.usage = usage;
    }

    /** Handles a request whose key is valid, or whose route is open to all. */
    public void handle(RequestScope scope, RoutedService routed) throws FireflywalkException {
        Target target = pool.choose(scope.snapshot(), routed.service().name(), scope.requestId(), Set.of());
        pool.attemptStarted(target);
        scope.request().pause();
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
                    UsageAmount amount = new UsageAmount(1, 0, 0);
                    Disposable unused = usage.record(
                                    scope.requestId(),
                                    scope.clientAccount(),
                                    routed.service().name(),
                                    target.charge(),
                                    amount)
                            .subscribe(() -> scope.request().response().end());
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

    private static io.vertx.core.Future<Void> forward(RequestScope scope, HttpClientResponse answer) {
        HttpServerResponse response = scope.request().response();
        response.setStatusCode(answer.statusCode());
        HeaderFilter.copyToCaller(answer.headers(), response.headers());
        if (!response.headers().contains("content-length")) {
            response.setChunked(true);
        }
        return answer.pipe().endOnComplete(false).to(response);
    }
}
