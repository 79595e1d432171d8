package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: rows, transactions under conditions, and a feed that waits. Thread-safe. */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server;
    private final Map<String, ObjectNode> rows = new TreeMap<>();
    private final List<ObjectNode> changes = new ArrayList<>();
    private long version;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a row on behalf of the operator or of a server; returns once it is acknowledged. */
    synchronized void put(String table, String key, JsonNode value) {
        version++;
        write(table, key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized void write(String table, String key, String value) {
        ObjectNode row = JSON.createObjectNode().put("table", table).put("part", "").put("key", key);
        row.put("rowVersion", version);
        if (value == null) {
            row.put("tombstone", true);
            rows.remove(table + "/" + key);
        } else {
            row.put("value", value);
            rows.put(table + "/" + key, row);
        }
        changes.add(row);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            Map<String, String> query = query(exchange);
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/rows-get" -> respond(exchange, 200, get(query));
                case "/v1/rows-feed" -> respond(exchange, 200, feed(query));
                case "/v1/rows-tx" -> commit(exchange, JSON.readTree(exchange.getRequestBody().readAllBytes()));
                default -> respond(exchange, 404, JSON.createObjectNode());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized ObjectNode get(Map<String, String> query) {
        String table = query.get("table");
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        ObjectNode body = head();
        ArrayNode found = body.putArray("rows");
        boolean more = false;
        for (ObjectNode row : rows.values()) {
            String key = row.path("key").asText();
            boolean inRange = row.path("table").asText().equals(table)
                    && key.compareTo(from) >= 0
                    && (to.isEmpty() || key.compareTo(to) < 0);
            if (inRange && found.size() == limit) {
                more = true;
            } else if (inRange) {
                found.add(row);
            }
        }
        return body.put("hasMore", more);
    }

    private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            ObjectNode body = head();
            ArrayNode found = body.putArray("rows");
            for (ObjectNode row : changes) {
                if (row.path("table").asText().equals(query.get("table")) && row.path("rowVersion").asLong() > after) {
                    found.add(row);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (found.size() > 0 || left <= 0) {
                return body;
            }
            wait(left);
        }
    }

    private synchronized ObjectNode head() {
        return JSON.createObjectNode().put("rowVersion", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private void commit(HttpExchange exchange, JsonNode body) throws IOException {
        ObjectNode result;
        int status = 200;
        synchronized (this) {
            ArrayNode failed = JSON.createArrayNode();
            for (JsonNode expected : body.path("expectedRevision")) {
                ObjectNode row = rows.get(expected.path("table").asText() + "/" + expected.path("key").asText());
                if ((row == null ? 0 : row.path("rowVersion").asLong()) != expected.path("rowVersion").asLong()) {
                    status = 412;
                }
                if (row != null) {
                    failed.add(row);
                }
            }
            if (status == 200) {
                version++;
                body.path("puts").forEach(put -> write(
                        put.path("table").asText(), put.path("key").asText(), put.path("value").asText()));
                body.path("remove").forEach(gone ->
                        write(gone.path("table").asText(), gone.path("key").asText(), null));
            }
            result = head();
            if (status == 412) {
                result.set("rows", failed);
            }
        }
        respond(exchange, status, result);
    }

    private static void respond(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
