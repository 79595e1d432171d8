package io.fireflywalk.operator.cli;

import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.DecisionExplanation;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.http.HttpClients;
import io.netty.handler.codec.http.QueryStringEncoder;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Blocking client of the operator API of one instance. Not thread-safe. */
final class OperatorClient implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;
    /** Exceeds the time to acknowledge a change, which may wait for a freshness limit. */
    private static final long REQUEST_TIMEOUT_MILLISECONDS = 30_000;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client;
    private final URI server;
    private final String operatorKey;

    OperatorClient(URI server, String operatorKey, Optional<Path> certificateAuthorityFile) {
        this.server = server;
        this.operatorKey = operatorKey;
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS);
        certificateAuthorityFile.ifPresent(
                file -> options.setTrustOptions(new PemTrustOptions().addCertPath(file.toString())));
        this.client = HttpClients.create(vertx, options, new PoolOptions());
    }

    static OperatorClient of(CommandOptions.Server options) {
        return new OperatorClient(options.server, options.operatorKey(), options.certificateAuthorityFile());
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    OperatorMessages.ConfigurationResponse configuration() throws FireflywalkException {
        return call(
                HttpMethod.GET,
                "/operator/v1/configuration",
                Optional.empty(),
                OperatorMessages.ConfigurationResponse.class);
    }

    long submitChange(long baseVersion, String reason, List<DocumentChange> changes) throws FireflywalkException {
        var request = new OperatorMessages.ChangeRequest(baseVersion, "", reason, DocumentCodec.toMessages(changes));
        return call(
                        HttpMethod.POST,
                        "/operator/v1/changes",
                        Optional.of(Codec.json().write(request)),
                        OperatorMessages.ChangeResponse.class)
                .version();
    }

    List<UsageRow> usage() throws FireflywalkException {
        return List.of(call(HttpMethod.GET, "/operator/v1/usage", Optional.empty(), UsageRow[].class));
    }

    OperatorMessages.StatusResponse status() throws FireflywalkException {
        return call(HttpMethod.GET, "/operator/v1/status", Optional.empty(), OperatorMessages.StatusResponse.class);
    }

    OperatorMessages.DrainResponse drainInstance() throws FireflywalkException {
        return call(HttpMethod.POST, "/operator/v1/drain", Optional.of("{}"), OperatorMessages.DrainResponse.class);
    }

    /** Returns the explanation of a decision; the parameters are those of the query. */
    DecisionExplanation decision(Map<String, String> parameters) throws FireflywalkException {
        QueryStringEncoder query = new QueryStringEncoder("/v1/decision");
        parameters.forEach(query::addParam);
        return call(HttpMethod.GET, query.toString(), Optional.empty(), DecisionExplanation.class);
    }

    private <T> T call(HttpMethod method, String path, Optional<String> body, Class<T> type)
            throws FireflywalkException {
        if (server.getHost() == null || server.getPort() < 0) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "--server must have the form http://host:port", server.toString());
        }
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(server.getHost())
                .setPort(server.getPort())
                .setSsl("https".equals(server.getScheme()))
                .setURI(path)
                .setTimeout(REQUEST_TIMEOUT_MILLISECONDS);
        if (!operatorKey.isEmpty()) {
            options.putHeader("authorization", "Bearer " + operatorKey);
        }
        Response response;
        try {
            response = client.request(options)
                    .compose(request -> request.send(Buffer.buffer(body.orElse(""))))
                    .compose(httpResponse -> httpResponse
                            .body()
                            .map(content -> new Response(httpResponse.statusCode(), content.toString())))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
        } catch (CompletionException exception) {
            throw new FireflywalkException(
                    ErrorKind.TARGET_FAILED, "no response from " + server, path, exception.getCause());
        }
        if (response.status() != STATUS_OK) {
            throw toException(response, path);
        }
        return Codec.json().read(response.body(), type, path);
    }

    private static FireflywalkException toException(Response response, String path) throws FireflywalkException {
        var error = Codec.json().read(response.body(), OperatorMessages.ErrorResponse.class, path);
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.code().equals(error.code())) {
                return new FireflywalkException(kind, error.message(), path);
            }
        }
        return new FireflywalkException(ErrorKind.INTERNAL, error.message(), path);
    }

    private record Response(int status, String body) {}
}
