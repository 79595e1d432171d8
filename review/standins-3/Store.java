import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store (rows-get, rows-feed, rows-tx) and of its API (usage, scale). A change is acknowledged
 * when it is applied. Keeps all history. It can be away, and come back from a copy that it had at an earlier version.
 */
final class Store implements AutoCloseable {
    private record Row(String table, String key, String value, long version) {}

    /** A usage report, and whether it was accepted: its fencing token is none lower than one seen before. */
    record Report(String holder, long token, long window, Map<String, Object> counts, boolean accepted) {}

    private final List<Report> reports = new ArrayList<>();
    private long highestToken;
    private int era = 1;
    private boolean away;
    private final ServerSocket server;
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> changes = new ArrayList<>();
    private long version;
    private boolean closed;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Deployment.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        change(new Row(table, key, value, ++version));
    }

    synchronized void remove(String table, String key) {
        change(new Row(table, key, null, ++version));
    }

    synchronized long version() {
        return version;
    }

    synchronized List<Report> reports() {
        return List.copyOf(reports);
    }

    /** Returns the text of a row; empty if there is none. */
    synchronized String text(String table, String key) {
        Row row = rows.get(table + "\n" + key);
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    /** Refuses all calls of the system from now on. */
    synchronized void leave() {
        away = true;
    }

    /** Serves again with all that it has acknowledged. */
    synchronized void comeBack() {
        away = false;
    }

    /**
     * Serves again from the copy of a version. What the system has written since is gone, and the versions are given out
     * again; what the operator and the runners have written since is written again.
     */
    synchronized void comeBackFrom(long copy) {
        List<Row> lost = changes.stream().filter(row -> row.version() > copy).toList();
        List<Row> kept = changes.stream().filter(row -> row.version() <= copy).toList();
        rows.clear();
        changes.clear();
        version = copy;
        kept.forEach(this::change);
        for (Row row : lost) {
            if (row.table().equals("op") || row.table().equals("servers")) {
                change(new Row(row.table(), row.key(), row.value(), ++version));
            }
        }
        era++;
        away = false;
        notifyAll();
    }

    private synchronized String[] report(Http.Head head, Map<String, Object> body) {
        long token = Long.parseLong(head.header("X-Fireflywalk-Fencing-Token").orElseThrow());
        String holder = head.header("X-Fireflywalk-Duty-Holder").orElseThrow();
        boolean accepted = token >= highestToken;
        highestToken = Math.max(highestToken, token);
        @SuppressWarnings("unchecked")
        Map<String, Object> counts = new TreeMap<>((Map<String, Object>) body.get("counts"));
        reports.add(new Report(holder, token, (long) body.get("window"), counts, accepted));
        return new String[] {accepted ? "200" : "409", "{}"};
    }

    private void change(Row row) {
        String id = row.table() + "\n" + row.key();
        if (row.value() == null) {
            rows.remove(id);
        } else {
            rows.put(id, row);
        }
        changes.add(row);
        notifyAll();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                Deployment.daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                var head = Http.readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                String body = new String(Http.readBody(in, head.get()), StandardCharsets.UTF_8);
                String[] answer = answer(head.get(), body);
                byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer[0] + " X\r\nStore-Era: " + era + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException ended) {
            // The peer has closed the connection.
        }
    }

    private String[] answer(Http.Head head, String body) {
        String path = head.path().split("\\?")[0];
        Map<String, String> query = Deployment.query(head.path());
        if (isAway() && path.startsWith("/v1/")) {
            return new String[] {"503", "{}"};
        }
        return switch (path) {
            case "/v1/rows-get" -> get(query);
            case "/v1/rows-feed" -> feed(query);
            case "/v1/rows-tx" -> transact(Json.object(body));
            case "/usage" -> report(head, Json.object(body));
            case "/scale" -> new String[] {"200", "{}"};
            default -> new String[] {"404", "{}"};
        };
    }

    private synchronized boolean isAway() {
        return away;
    }

    private synchronized String[] get(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        List<String> found = rows.values().stream()
                .filter(row -> row.table().equals(query.get("table")))
                .filter(row -> row.key().compareTo(from) >= 0 && (to.isEmpty() || row.key().compareTo(to) < 0))
                .map(Store::format)
                .toList();
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        return rowsAnswer(found.stream().limit(limit).toList(), found.size() > limit);
    }

    private synchronized String[] feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        int startEra = era;
        while (true) {
            if (away) {
                return new String[] {"503", "{}"};
            }
            if (after > version || era != startEra) {
                return new String[] {"410", "{}"};
            }
            List<String> found = changes.stream()
                    .filter(row -> row.version() > after && row.table().equals(query.get("table")))
                    .map(Store::format)
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return rowsAnswer(found, false);
            }
            try {
                wait(left);
            } catch (InterruptedException stopped) {
                return rowsAnswer(found, false);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] transact(Map<String, Object> call) {
        List<String> conflicting = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> expected : (List<Map<String, Object>>) call.getOrDefault("expectedRevision", List.of())) {
            Row row = rows.get(expected.get("table") + "\n" + expected.get("key"));
            holds &= (row == null ? 0 : row.version()) == (long) expected.get("rowVersion");
            if (row != null) {
                conflicting.add(format(row));
            }
        }
        if (!holds) {
            return new String[] {"412", "{\"rows\":[" + String.join(",", conflicting) + "],\"rowVersion\":" + version + "}"};
        }
        version++;
        for (Map<String, Object> put : (List<Map<String, Object>>) call.getOrDefault("puts", List.of())) {
            change(new Row((String) put.get("table"), (String) put.get("key"), (String) put.get("value"), version));
        }
        for (Map<String, Object> removed : (List<Map<String, Object>>) call.getOrDefault("remove", List.of())) {
            change(new Row((String) removed.get("table"), (String) removed.get("key"), null, version));
        }
        return new String[] {"200", "{\"rowVersion\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000 + "}"};
    }

    private String[] rowsAnswer(List<String> found, boolean more) {
        return new String[] {
            "200",
            "{\"rows\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"rowVersion\":" + version + ",\"nowMs\":"
                    + System.nanoTime() / 1_000_000 + "}"
        };
    }

    private static String format(Row row) {
        return "{\"table\":" + Json.quote(row.table()) + ",\"part\":\"\",\"key\":" + Json.quote(row.key())
                + (row.value() == null ? ",\"tombstone\":true" : ",\"value\":" + Json.quote(row.value()))
                + ",\"rowVersion\":" + row.version() + "}";
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
