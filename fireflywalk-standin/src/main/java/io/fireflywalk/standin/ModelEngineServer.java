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
 * resumed stream can be compared with an uninterrupted one. Runs on one event loop.
 */
public final class ModelEngineServer {
    private static final int DEFAULT_MAXIMUM_TOKENS = 16;
    private static final int BODY_BYTES_PER_PROMPT_TOKEN = 4;

    private final Vertx vertx;
    private final HttpServer server;
    private final String model;
    private final String modelVersion;
    private final long tokenIntervalMilliseconds;
    private final Map<String, Long> timerIdsByAttempt = new HashMap<>();
    private long loadSequence;
    private Optional<EngineOrderHandler> orderHandler = Optional.empty();

    public ModelEngineServer(Vertx vertx, String model, String modelVersion, long tokenIntervalMilliseconds) {
        this.vertx = vertx;
        this.model = model;
        this.modelVersion = modelVersion;
        this.tokenIntervalMilliseconds = tokenIntervalMilliseconds;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Serves the order endpoint with this handler; without one its paths get status 404. */
    public ModelEngineServer withOrderHandler(EngineOrderHandler handler) {
        orderHandler = Optional.of(handler);
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
            request.body().onSuccess(body -> handleCompletion(request, body));
        } else if (request.method().equals(HttpMethod.GET) && path.equals("/engine/v1/load")) {
            respondJson(request.response(), 200, loadReport());
        } else if (path.startsWith(EngineOrderHandler.ORDERS_PATH) && orderHandler.isPresent()) {
            orderHandler.get().handle(request);
        } else if (request.method().equals(HttpMethod.DELETE) && path.startsWith("/engine/v1/requests/")) {
            cancel(path.substring("/engine/v1/requests/".length()));
            request.response().setStatusCode(204).end();
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private JsonObject loadReport() {
        loadSequence++;
        return new JsonObject()
                .put("model", model)
                .put("modelVersion", modelVersion)
                .put("role", "MIXED")
                .put("runningRequests", timerIdsByAttempt.size())
                .put("waitingRequests", 0)
                .put("queuedPrefillTokens", 0)
                .put("keyValueCacheUse", 0.0)
                .put("sequence", loadSequence);
    }

    private void handleCompletion(HttpServerRequest request, Buffer body) {
        JsonObject document;
        try {
            document = body.toJsonObject();
        } catch (DecodeException exception) {
            respondJson(request.response(), 400, new JsonObject().put("error", "request body is not valid JSON"));
            return;
        }
        Generation generation = new Generation(
                Optional.ofNullable(request.getHeader("x-request-id")).orElse("none"),
                Optional.ofNullable(request.getHeader("x-attempt-id")).orElse("none"),
                request.path().contains("/chat/"),
                document.getInteger("max_tokens", DEFAULT_MAXIMUM_TOKENS),
                body.length() / BODY_BYTES_PER_PROMPT_TOKEN);
        request.response().putHeader("x-attempt-id", generation.attemptId());
        if (document.getBoolean("stream", false)) {
            int firstIndex = Optional.ofNullable(request.getHeader("last-event-id"))
                    .map(lastEventId -> Integer.parseInt(lastEventId) + 1)
                    .orElse(0);
            if (!resumeTextMatches(document, firstIndex)) {
                respondJson(
                        request.response(),
                        400,
                        new JsonObject().put("error", "resume text does not match the generated tokens"));
                return;
            }
            stream(request.response(), generation, firstIndex);
        } else {
            long delayMilliseconds = Math.max(1, tokenIntervalMilliseconds * generation.maximumTokens());
            long timerId = vertx.setTimer(delayMilliseconds, ignored -> {
                timerIdsByAttempt.remove(generation.attemptId());
                respondJson(request.response(), 200, completionResponse(generation));
            });
            timerIdsByAttempt.put(generation.attemptId(), timerId);
        }
    }

    private static boolean resumeTextMatches(JsonObject document, int firstIndex) {
        StringBuilder expected = new StringBuilder();
        for (int index = 0; index < firstIndex; index++) {
            expected.append(tokenText(index));
        }
        String generated = document.getJsonObject("resume", new JsonObject()).getString("generated_text", "");
        return generated.contentEquals(expected);
    }

    private void stream(HttpServerResponse response, Generation generation, int firstIndex) {
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        response.writeHead();
        int[] nextIndex = {firstIndex};
        long timerId = vertx.setPeriodic(Math.max(1, tokenIntervalMilliseconds), id -> {
            if (nextIndex[0] >= generation.maximumTokens()) {
                vertx.cancelTimer(id);
                timerIdsByAttempt.remove(generation.attemptId());
                response.end("data: " + finalChunk(generation).encode() + "\n\ndata: [DONE]\n\n");
                return;
            }
            response.write("id: " + nextIndex[0] + "\ndata: "
                    + tokenChunk(generation, nextIndex[0]).encode() + "\n\n");
            nextIndex[0]++;
        });
        timerIdsByAttempt.put(generation.attemptId(), timerId);
        response.closeHandler(ignored -> cancel(generation.attemptId()));
    }

    private void cancel(String attemptId) {
        Long timerId = timerIdsByAttempt.remove(attemptId);
        if (timerId != null) {
            vertx.cancelTimer(timerId);
        }
    }

    private JsonObject tokenChunk(Generation generation, int index) {
        JsonObject choice = new JsonObject().put("index", 0).putNull("finish_reason");
        if (generation.chat()) {
            choice.put("delta", new JsonObject().put("content", tokenText(index)));
        } else {
            choice.put("text", tokenText(index));
        }
        return completionObject(generation, generation.chat() ? "chat.completion.chunk" : "text_completion", choice);
    }

    private JsonObject finalChunk(Generation generation) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", "length");
        if (generation.chat()) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        return completionObject(generation, generation.chat() ? "chat.completion.chunk" : "text_completion", choice)
                .put("usage", usage(generation));
    }

    private JsonObject completionResponse(Generation generation) {
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
        return completionObject(generation, generation.chat() ? "chat.completion" : "text_completion", choice)
                .put("usage", usage(generation));
    }

    private JsonObject completionObject(Generation generation, String object, JsonObject choice) {
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

    private static void respondJson(HttpServerResponse response, int status, JsonObject body) {
        response.setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.encode());
    }

    private record Generation(String requestId, String attemptId, boolean chat, int maximumTokens, int promptTokens) {}
}
