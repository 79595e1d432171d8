import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** The platform's store: rows of tables without parts, kept in memory. */
final class Store extends Server {
    static final ObjectMapper JSON = new ObjectMapper();

    /** A row; a removed one has no value. */
    record Row(String table, String key, String value, long version) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 1;
    private final long startedAt = System.nanoTime();

    /** What to do with a call: 0 serves it, another number is the status of a refusal, -1 leaves it unanswered. */
    volatile Function<Http.Message, Integer> fault = request -> 0;

    final Recorder recorder;

    Store(String host, Recorder recorder) throws IOException {
        super(host);
        this.recorder = recorder;
    }

    synchronized long put(String table, String key, String text) {
        return putEncoded(
                table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized long putEncoded(String table, String key, String value) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(table, key, value, version));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        putEncoded(table, key, null);
    }

    synchronized String text(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null || row.value() == null
                ? null
                : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    @Override
    boolean handle(Http.Message request, Socket connection, InputStream in, OutputStream out) throws IOException {
        int refusal = fault.apply(request);
        if (refusal < 0) {
            sleep(60_000);
            return false;
        }
        if (refusal > 0) {
            json(out, refusal, "{}");
            return true;
        }
        sleep(2);
        String path = request.path();
        Map<String, String> query = query(path);
        if (path.startsWith("/v1/rows-get")) {
            json(out, 200, get(query));
        } else if (path.startsWith("/v1/rows-feed")) {
            json(out, 200, feed(query));
        } else if (path.startsWith("/v1/rows-tx")) {
            transact(JSON.readTree(request.body), out);
        } else {
            json(out, 404, "{}");
        }
        return true;
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int start = path.indexOf('?');
        if (start >= 0) {
            for (String part : path.substring(start + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private ObjectNode body() {
        return JSON.createObjectNode().put("rowVersion", version).put("nowMs", (System.nanoTime() - startedAt) / 1_000_000);
    }

    private static void add(ArrayNode rows, Row row) {
        ObjectNode node = rows.addObject().put("table", row.table()).put("part", "").put("key", row.key());
        node.put("rowVersion", row.version());
        if (row.value() == null) {
            node.put("tombstone", true);
        } else {
            node.put("value", row.value());
        }
    }

    private synchronized String get(Map<String, String> query) {
        ObjectNode body = body();
        ArrayNode rows = body.putArray("rows");
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        boolean more = false;
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from).values()) {
            if (row.value() == null || (!to.isEmpty() && row.key().compareTo(to) >= 0)) {
                continue;
            }
            if (rows.size() >= limit) {
                more = true;
                break;
            }
            add(rows, row);
        }
        body.put("hasMore", more);
        return body.toString();
    }

    private synchronized String feed(Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
                if (row.version() > after) {
                    changed.add(row);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                changed.sort((first, second) -> Long.compare(first.version(), second.version()));
                ObjectNode body = body();
                ArrayNode rows = body.putArray("rows");
                changed.forEach(row -> add(rows, row));
                return body.toString();
            }
            try {
                wait(left);
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
    }

    private synchronized void transact(JsonNode call, OutputStream out) throws IOException {
        ObjectNode body = body();
        ArrayNode current = body.putArray("rows");
        boolean holds = true;
        for (JsonNode expected : call.path("expectedRevision")) {
            Row row = tables.getOrDefault(expected.path("table").asText(), new TreeMap<>())
                    .get(expected.path("key").asText());
            long found = row == null || row.value() == null ? 0 : row.version();
            if (row != null && row.value() != null) {
                add(current, row);
            }
            holds &= found == expected.path("rowVersion").asLong();
        }
        if (!holds) {
            json(out, 412, body.toString());
            return;
        }
        version++;
        for (JsonNode put : call.path("puts")) {
            set(put, put.path("value").asText());
        }
        for (JsonNode removed : call.path("remove")) {
            set(removed, null);
        }
        notifyAll();
        json(out, 200, body().toString());
    }

    private void set(JsonNode row, String value) {
        String table = row.path("table").asText();
        String key = row.path("key").asText();
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(table, key, value, version));
    }
}
