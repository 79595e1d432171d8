package io.fireflywalk.daemon.operators;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.daemon.gateway.ErrorResponder;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.fireflywalk.daemon.usage.UsageWriter;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.platform.codec.Codec;
import io.fireflywalk.platform.configuration.ConfigurationFile;
import io.fireflywalk.platform.table.TableService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** HTTP server for operators and their monitoring. Confined to one event loop. */
public final class OperatorServer {
    private static final int USAGE_LIMIT = 1000;
    private static final String BEARER = "Bearer ";

    private final HttpServer server;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final BooleanSupplier ready;
    private final ConfigurationChanger changer;
    private final TableService tables;
    private final MetricRegistry metrics;
    private final List<String> operatorKeyDigests;

    public OperatorServer(
            Vertx vertx,
            Supplier<ConfigurationSnapshot> snapshots,
            BooleanSupplier ready,
            ConfigurationChanger changer,
            TableService tables,
            MetricRegistry metrics,
            List<String> operatorKeyDigests) {
        this.snapshots = snapshots;
        this.ready = ready;
        this.changer = changer;
        this.tables = tables;
        this.metrics = metrics;
        this.operatorKeyDigests = List.copyOf(operatorKeyDigests);
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Closes the listening socket. */
    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/health/live" -> reply(request, 200, "live\n");
            case "/health/ready" -> reply(request, ready.getAsBoolean() ? 200 : 503, ready.getAsBoolean() + "\n");
            case "/metrics" -> reply(request, 200, MetricsPage.render(metrics));
            default -> handleAuthorized(request);
        }
    }

    private void handleAuthorized(HttpServerRequest request) {
        String key = request.getHeader("authorization");
        boolean authorized = key != null
                && key.startsWith(BEARER)
                && operatorKeyDigests.stream()
                        .anyMatch(digest -> SecretDigest.matches(key.substring(BEARER.length()), digest));
        if (!authorized) {
            replyError(
                    request,
                    new FireflywalkException(ErrorKind.OPERATOR_UNAUTHORIZED, "operator key required", "operators"));
            return;
        }
        String call = request.method() + " " + request.path();
        switch (call) {
            case "GET /operator/v1/configuration" -> replySingle(request, Single.fromCallable(this::configuration));
            case "POST /operator/v1/changes" -> change(request);
            case "GET /operator/v1/usage" -> replySingle(request, usage());
            default ->
                replyError(request, new FireflywalkException(ErrorKind.UNKNOWN_ROUTE, "unknown path", "operators"));
        }
    }

    private OperatorMessages.ConfigurationAnswer configuration() {
        ConfigurationSnapshot snapshot = snapshots.get();
        return new OperatorMessages.ConfigurationAnswer(snapshot.version(), ConfigurationFile.of(snapshot));
    }

    private void change(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.POST)) {
            return;
        }
        request.body().onSuccess(body -> {
            try {
                OperatorMessages.ChangeRequest message =
                        Codec.json().read(body.toString(), OperatorMessages.ChangeRequest.class, "request body");
                replySingle(request, changer.change(message).map(OperatorMessages.ChangeAnswer::new));
            } catch (FireflywalkException exception) {
                replyError(request, exception);
            }
        });
    }

    private Single<List<UsageRow>> usage() {
        return tables.scan(UsageRecorder.TABLE, "", "", USAGE_LIMIT).map(rows -> {
            List<UsageRow> usage = new ArrayList<>();
            for (var row : rows) {
                usage.addAll(UsageWriter.rowsOf(row));
            }
            return usage;
        });
    }

    private static void replySingle(HttpServerRequest request, Single<?> answer) {
        Disposable unused = answer.subscribe(
                value -> {
                    request.response().putHeader("content-type", "application/json");
                    reply(request, 200, Codec.json().write(value));
                },
                cause -> replyError(request, ErrorResponder.asKnown(cause, "operators")));
    }

    private static void replyError(HttpServerRequest request, FireflywalkException exception) {
        List<String> problems = exception.kind() == ErrorKind.CONFIGURATION_INVALID
                ? List.of(exception.detail().split("; "))
                : List.of();
        var answer = new OperatorMessages.ErrorAnswer(exception.kind().code(), exception.detail(), problems);
        request.response().putHeader("content-type", "application/json");
        reply(request, exception.kind().httpStatus(), Codec.json().write(answer));
    }

    private static void reply(HttpServerRequest request, int status, String body) {
        request.response().setStatusCode(status).end(body);
    }
}
