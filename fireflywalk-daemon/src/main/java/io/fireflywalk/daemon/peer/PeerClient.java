package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.http.HttpClients;
import io.fireflywalk.services.http.RxFutures;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/** Sends messages to peers over HTTP; each call has a timeout. Thread-safe. */
public final class PeerClient implements PeerTransport {
    private static final int CONNECTIONS_PER_PEER = 4;
    private static final int MAXIMUM_QUEUED_CALLS = 256;
    private static final int STATUS_OK = 200;

    private final HttpClient client;

    public PeerClient(Vertx vertx, Duration connectTimeout) {
        this.client = HttpClients.create(
                vertx,
                new HttpClientOptions().setConnectTimeout((int) connectTimeout.toMillis()),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PEER).setMaxWaitQueueSize(MAXIMUM_QUEUED_CALLS));
    }

    @Override
    public <T> Single<T> call(Member peer, String path, Object message, Class<T> responseType, Duration timeout) {
        Buffer body = Buffer.buffer(Codec.json().write(message));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(peer.host())
                .setPort(peer.peerPort())
                .setURI(path)
                .setTimeout(timeout.toMillis())
                .setIdleTimeout(timeout.toMillis());
        return RxFutures.single(() -> send(options, body))
                .flatMap(response -> response.status() == STATUS_OK
                        ? Single.just(Codec.json().read(response.body(), responseType, path))
                        : Single.error(new IllegalStateException("HTTP status " + response.status())))
                .onErrorResumeNext(cause -> Single.error(new FireflywalkException(
                        ErrorKind.TARGET_FAILED, "peer call failed: " + cause, peer.instance() + path, cause)));
    }

    private Future<ReceivedResponse> send(RequestOptions options, Buffer body) {
        return client.request(options)
                .compose(request -> request.send(body)
                        .compose(response -> response.body()
                                .map(responseBody ->
                                        new ReceivedResponse(response.statusCode(), responseBody.toString()))));
    }

    private record ReceivedResponse(int status, String body) {}
}
