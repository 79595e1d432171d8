package io.fireflywalk.operator.cli;

import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Blocking client of the operators' interface of one instance. Not thread-safe. */
final class OperatorClient implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;
    /** Longer than the acknowledgement of a change, which may wait for a freshness limit. */
    private static final long TIMEOUT_MILLISECONDS = 30_000;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client;
    private final URI server;
    private final String key;

    OperatorClient(URI server, String key, Optional<Path> certificateAuthorityFile) {
        this.server = server;
        this.key = key;
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS);
        certificateAuthorityFile.ifPresent(
                file -> options.setTrustOptions(new PemTrustOptions().addCertPath(file.toString())));
        this.client = vertx.createHttpClient(options);
    }

    static OperatorClient of(CommandOptions.Server options) {
        return new OperatorClient(options.server, options.operatorKey(), options.certificateAuthorityFile());
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    OperatorMessages.ConfigurationAnswer configuration() throws FireflywalkException {
        return call(
                HttpMethod.GET,
                "/operator/v1/configuration",
                Optional.empty(),
                OperatorMessages.ConfigurationAnswer.class);
    }

    long change(long baseVersion, String reason, List<DocumentChange> changes) throws FireflywalkException {
        var request = new OperatorMessages.ChangeRequest(baseVersion, "", reason, DocumentCodec.toMessages(changes));
        return call(
                        HttpMethod.POST,
                        "/operator/v1/changes",
                        Optional.of(Codec.json().write(request)),
                        OperatorMessages.ChangeAnswer.class)
                .version();
    }

    List<UsageRow> usage() throws FireflywalkException {
        return List.of(call(HttpMethod.GET, "/operator/v1/usage", Optional.empty(), UsageRow[].class));
    }

    OperatorMessages.StatusAnswer status() throws FireflywalkException {
        return call(HttpMethod.GET, "/operator/v1/status", Optional.empty(), OperatorMessages.StatusAnswer.class);
    }

    OperatorMessages.DrainAnswer drainInstance() throws FireflywalkException {
        return call(HttpMethod.POST, "/operator/v1/drain", Optional.of("{}"), OperatorMessages.DrainAnswer.class);
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
                .setTimeout(TIMEOUT_MILLISECONDS)
                .putHeader("authorization", "Bearer " + key);
        Answer answer;
        try {
            answer = client.request(options)
                    .compose(request -> request.send(Buffer.buffer(body.orElse(""))))
                    .compose(response ->
                            response.body().map(content -> new Answer(response.statusCode(), content.toString())))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
        } catch (CompletionException exception) {
            throw new FireflywalkException(
                    ErrorKind.TARGET_FAILED, "no answer from " + server, path, exception.getCause());
        }
        if (answer.status() != STATUS_OK) {
            throw refusal(answer, path);
        }
        return Codec.json().read(answer.body(), type, path);
    }

    private static FireflywalkException refusal(Answer answer, String path) throws FireflywalkException {
        var error = Codec.json().read(answer.body(), OperatorMessages.ErrorAnswer.class, path);
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.code().equals(error.code())) {
                return new FireflywalkException(kind, error.message(), path);
            }
        }
        return new FireflywalkException(ErrorKind.INTERNAL, error.message(), path);
    }

    private record Answer(int status, String body) {}
}
