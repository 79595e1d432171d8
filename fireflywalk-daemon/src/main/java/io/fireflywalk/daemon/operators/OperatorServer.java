package io.fireflywalk.daemon.operators;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.daemon.gateway.ErrorResponder;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.fireflywalk.daemon.usage.UsageWriter;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.operator.message.StatusTable;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.ConfigurationFile;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/** HTTP server for operators and monitoring systems. Confined to one event loop. */
public final class OperatorServer {
    private static final Logger LOG = Logger.getLogger(OperatorServer.class);
    private static final int MAXIMUM_USAGE_ROWS = 1000;

    private final HttpServer server;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final BooleanSupplier readiness;
    private final ConfigurationChangeService changeService;
    private final TableService tables;
    private final MetricRegistry metrics;
    private final OperatorAuthenticator authenticator;
    private final TlsReloader tlsReloader;
    private final Supplier<Integer> drainStarter;
    private final List<StatusSource> statusSources = new ArrayList<>();

    public OperatorServer(
            Vertx vertx,
            TimerService timers,
            DaemonSettings settings,
            Supplier<ConfigurationSnapshot> snapshots,
            BooleanSupplier readiness,
            Supplier<Integer> drainStarter,
            ConfigurationChangeService changeService,
            TableService tables,
            MetricRegistry metrics) {
        this.snapshots = snapshots;
        this.readiness = readiness;
        this.drainStarter = drainStarter;
        this.changeService = changeService;
        this.tables = tables;
        this.metrics = metrics;
        this.authenticator = new OperatorAuthenticator(settings.operatorKeys());
        this.tlsReloader = new TlsReloader(vertx, timers, settings.operatorTls());
        this.server = vertx.createHttpServer(tlsReloader.serverOptions()).requestHandler(this::handle);
    }

    /** Adds a table to the status report. */
    public void addStatus(StatusSource source) {
        statusSources.add(source);
    }

    /** Starts listening and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).onSuccess(tlsReloader::start).map(HttpServer::actualPort);
    }

    /** Closes the listening socket. */
    public Future<Void> close() {
        tlsReloader.stop();
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/health/live" -> reply(request, 200, "live\n");
            case "/health/ready" ->
                reply(request, readiness.getAsBoolean() ? 200 : 503, readiness.getAsBoolean() + "\n");
            case "/metrics" -> reply(request, 200, MetricsRenderer.render(metrics));
            default -> handleAuthorized(request);
        }
    }

    private void handleAuthorized(HttpServerRequest request) {
        Optional<String> operator = authenticator.authenticate(Optional.ofNullable(request.getHeader("authorization")));
        if (operator.isEmpty()) {
            replyError(
                    request,
                    new FireflywalkException(ErrorKind.OPERATOR_UNAUTHORIZED, "operator key required", "operators"));
            return;
        }
        String methodAndPath = request.method() + " " + request.path();
        switch (methodAndPath) {
            case "GET /operator/v1/configuration" -> replySingle(request, Single.fromCallable(this::configuration));
            case "POST /operator/v1/changes" -> change(request, operator.get());
            case "GET /operator/v1/status" -> replySingle(request, status());
            case "POST /operator/v1/drain" -> drain(request, operator.get());
            case "GET /operator/v1/usage" -> replySingle(request, usage());
            default ->
                replyError(request, new FireflywalkException(ErrorKind.UNKNOWN_ROUTE, "unknown path", "operators"));
        }
    }

    private OperatorMessages.ConfigurationResponse configuration() {
        ConfigurationSnapshot snapshot = snapshots.get();
        return new OperatorMessages.ConfigurationResponse(snapshot.version(), ConfigurationFile.of(snapshot));
    }

    private Single<OperatorMessages.StatusResponse> status() {
        return Flowable.fromIterable(statusSources)
                .concatMapSingle(source -> source.status().onErrorReturn(OperatorServer::unavailable))
                .toList()
                .map(OperatorMessages.StatusResponse::new);
    }

    private static StatusTable unavailable(Throwable cause) {
        return new StatusTable("unavailable", List.of("CAUSE"), List.of(List.of(String.valueOf(cause.getMessage()))));
    }

    private void drain(HttpServerRequest request, String operator) {
        LOG.infof("event=drain_requested operator=\"%s\"", operator);
        replySingle(request, Single.fromCallable(() -> new OperatorMessages.DrainResponse(drainStarter.get())));
    }

    private void change(HttpServerRequest request, String operator) {
        request.body().onSuccess(body -> {
            try {
                OperatorMessages.ChangeRequest message =
                        Codec.json().read(body.toString(), OperatorMessages.ChangeRequest.class, "request body");
                OperatorMessages.ChangeRequest authored = new OperatorMessages.ChangeRequest(
                        message.baseVersion(), operator, message.reason(), message.changes());
                replySingle(request, changeService.change(authored).map(OperatorMessages.ChangeResponse::new));
            } catch (FireflywalkException exception) {
                replyError(request, exception);
            }
        });
    }

    private Single<List<UsageRow>> usage() {
        return tables.scan(UsageRecorder.TABLE, "", "", MAXIMUM_USAGE_ROWS).map(rows -> {
            List<UsageRow> usage = new ArrayList<>();
            for (var row : rows) {
                usage.addAll(UsageWriter.rowsOf(row));
            }
            return usage;
        });
    }

    private static void replySingle(HttpServerRequest request, Single<?> response) {
        Disposable unused = response.subscribe(
                value -> {
                    request.response().putHeader("content-type", "application/json");
                    reply(request, 200, Codec.json().write(value));
                },
                cause -> replyError(request, ErrorResponder.toFireflywalkException(cause, "operators")));
    }

    private static void replyError(HttpServerRequest request, FireflywalkException exception) {
        List<String> problems = exception.kind() == ErrorKind.CONFIGURATION_INVALID
                ? List.of(exception.detail().split("; "))
                : List.of();
        var errorBody = new OperatorMessages.ErrorResponse(exception.kind().code(), exception.detail(), problems);
        request.response().putHeader("content-type", "application/json");
        reply(request, exception.kind().httpStatus(), Codec.json().write(errorBody));
    }

    private static void reply(HttpServerRequest request, int status, String body) {
        request.response().setStatusCode(status).end(body);
    }
}
