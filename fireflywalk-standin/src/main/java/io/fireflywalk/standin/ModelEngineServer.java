package io.fireflywalk.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Model engine that streams numbered tokens at a fixed interval. The tokens depend only on their index, so that a
 * resumed stream can be compared with an unbroken one. Runs on one event loop.
 */
public final class ModelEngineServer {
    private static final int DEFAULT_MAXIMUM_TOKENS = 16;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final Vertx vertx;
    private final HttpServer server;
    private final String model;
    private final String modelVersion;
    private final long tokenMilliseconds;
    private final Map<String, Long> timersByAttempt = new HashMap<>();
    private long loadSequence;
    private Optional<EngineOrderHandler> orders = Optional.empty();

    public ModelEngineServer(Vertx vertx, String model, String modelVersion, long tokenMilliseconds) {
        this.vertx = vertx;
        this.model = model;
        this.modelVersion = modelVersion;
        this.tokenMilliseconds = tokenMilliseconds;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Makes the engine take orders. */
    public ModelEngineServer withOrders(EngineOrderHandler handler) {
        orders = Optional.of(handler);
        return this;
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Returns the text of the token at the index. */
    public static String tokenText(int index) {
        return "token" + index + " ";
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if (request.method().equals(HttpMethod.POST) && path.endsWith("/completions")) {
            request.body().onSuccess(body -> complete(request, body));
        } else if (request.method().equals(HttpMethod.GET) && path.equals("/engine/v1/load")) {
            replyJson(request.response(), 200, load());
        } else if (path.startsWith(EngineOrderHandler.PATH) && orders.isPresent()) {
            orders.get().handle(request);
        } else if (request.method().equals(HttpMethod.DELETE) && path.startsWith("/engine/v1/requests/")) {
            cancel(path.substring("/engine/v1/requests/".length()));
            request.response().setStatusCode(204).end();
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private JsonObject load() {
        loadSequence++;
        return new JsonObject()
                .put("model", model)
                .put("modelVersion", modelVersion)
                .put("role", "MIXED")
                .put("runningRequests", timersByAttempt.size())
                .put("waitingRequests", 0)
                .put("queuedPrefillTokens", 0)
                .put("keyValueCacheUse", 0.0)
                .put("sequence", loadSequence);
    }

    private void complete(HttpServerRequest request, Buffer body) {
        JsonObject document;
        try {
            document = body.toJsonObject();
        } catch (DecodeException exception) {
            replyJson(request.response(), 400, new JsonObject().put("error", "body is not JSON"));
            return;
        }
        Generation generation = new Generation(
                Optional.ofNullable(request.getHeader("x-request-id")).orElse("none"),
                Optional.ofNullable(request.getHeader("x-attempt-id")).orElse("none"),
                request.path().contains("/chat/"),
                document.getInteger("max_tokens", DEFAULT_MAXIMUM_TOKENS),
                body.length() / CHARACTERS_PER_TOKEN);
        request.response().putHeader("x-attempt-id", generation.attemptId());
        if (document.getBoolean("stream", false)) {
            int first = Optional.ofNullable(request.getHeader("last-event-id"))
                    .map(last -> Integer.parseInt(last) + 1)
                    .orElse(0);
            if (!resumeMatches(document, first)) {
                replyJson(request.response(), 400, new JsonObject().put("error", "resume text does not match"));
                return;
            }
            stream(request.response(), generation, first);
        } else {
            long delay = Math.max(1, tokenMilliseconds * generation.maximumTokens());
            long timer = vertx.setTimer(delay, ignored -> {
                timersByAttempt.remove(generation.attemptId());
                replyJson(request.response(), 200, wholeAnswer(generation));
            });
            timersByAttempt.put(generation.attemptId(), timer);
        }
    }

    private static boolean resumeMatches(JsonObject document, int first) {
        StringBuilder expected = new StringBuilder();
        for (int index = 0; index < first; index++) {
            expected.append(tokenText(index));
        }
        String generated = document.getJsonObject("resume", new JsonObject()).getString("generated_text", "");
        return generated.contentEquals(expected);
    }

    private void stream(HttpServerResponse response, Generation generation, int firstIndex) {
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        response.writeHead();
        int[] next = {firstIndex};
        long timer = vertx.setPeriodic(Math.max(1, tokenMilliseconds), id -> {
            if (next[0] >= generation.maximumTokens()) {
                vertx.cancelTimer(id);
                timersByAttempt.remove(generation.attemptId());
                response.end("data: " + usageEvent(generation).encode() + "\n\ndata: [DONE]\n\n");
                return;
            }
            response.write("id: " + next[0] + "\ndata: "
                    + tokenEvent(generation, next[0]).encode() + "\n\n");
            next[0]++;
        });
        timersByAttempt.put(generation.attemptId(), timer);
        response.closeHandler(ignored -> cancel(generation.attemptId()));
    }

    private void cancel(String attemptId) {
        Long timer = timersByAttempt.remove(attemptId);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }

    private JsonObject tokenEvent(Generation generation, int index) {
        JsonObject choice = new JsonObject().put("index", 0).putNull("finish_reason");
        if (generation.chat()) {
            choice.put("delta", new JsonObject().put("content", tokenText(index)));
        } else {
            choice.put("text", tokenText(index));
        }
        return frame(generation, generation.chat() ? "chat.completion.chunk" : "text_completion", choice);
    }

    private JsonObject usageEvent(Generation generation) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", "length");
        if (generation.chat()) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        return frame(generation, generation.chat() ? "chat.completion.chunk" : "text_completion", choice)
                .put("usage", usage(generation));
    }

    private JsonObject wholeAnswer(Generation generation) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < generation.maximumTokens(); index++) {
            text.append(tokenText(index));
        }
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", "length");
        if (generation.chat()) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text.toString()));
        } else {
            choice.put("text", text.toString());
        }
        return frame(generation, generation.chat() ? "chat.completion" : "text_completion", choice)
                .put("usage", usage(generation));
    }

    private JsonObject frame(Generation generation, String object, JsonObject choice) {
        return new JsonObject()
                .put("id", "cmpl-" + generation.requestId())
                .put("object", object)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }

    private static JsonObject usage(Generation generation) {
        return new JsonObject()
                .put("prompt_tokens", generation.promptTokens())
                .put("completion_tokens", generation.maximumTokens())
                .put("total_tokens", generation.promptTokens() + generation.maximumTokens());
    }

    private static void replyJson(HttpServerResponse response, int status, JsonObject body) {
        response.setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.encode());
    }

    private record Generation(String requestId, String attemptId, boolean chat, int maximumTokens, int promptTokens) {}
}
