package io.fireflywalk.standin;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.usage.UsageReportMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Usage report endpoint that records every report. {@code POST /faults/lost-answers?count=} drops the responses to the
 * next reports after recording them, {@code POST /faults/outage?count=} refuses the next reports with status 503, and
 * {@code GET /received} lists the recorded ones. Runs on one event loop.
 */
public final class UsageReportServer {
    private final HttpServer server;
    private final List<UsageReportMessage> received = new CopyOnWriteArrayList<>();
    private int responsesToDrop;
    private int requestsToRefuse;

    public UsageReportServer(Vertx vertx) {
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Returns the recorded reports, including repeated ones. */
    public List<UsageReportMessage> received() {
        return List.copyOf(received);
    }

    private void handle(HttpServerRequest request) {
        if (request.method().equals(HttpMethod.PUT) && request.path().startsWith("/v1/usage-reports/")) {
            request.body().onSuccess(body -> handleReport(request, body));
        } else if (request.path().equals("/received")) {
            request.response().end(Codec.json().write(received));
        } else if (request.path().equals("/faults/lost-answers")) {
            responsesToDrop = Integer.parseInt(request.getParam("count", "0"));
            request.response().end();
        } else if (request.path().equals("/faults/outage")) {
            requestsToRefuse = Integer.parseInt(request.getParam("count", "0"));
            request.response().end();
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private void handleReport(HttpServerRequest request, Buffer body) {
        if (requestsToRefuse > 0) {
            requestsToRefuse--;
            request.response().setStatusCode(503).end();
            return;
        }
        try {
            received.add(Codec.json().read(body.toString(), UsageReportMessage.class, "request body"));
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(400).end(exception.getMessage());
            return;
        }
        if (responsesToDrop > 0) {
            responsesToDrop--;
            request.connection().close();
            return;
        }
        request.response().end("{}");
    }
}
