import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three machines serve streams, whose requests have long heads within the limit of the configuration, and postings. Two of the
 * machines are killed at one moment and stay away; the third one gets all requests. With TROUBLE=0 none is killed.
 */
final class AnswersWithoutRoom {
    private static final int MACHINES = 3;
    private static final int MODEL_RUNNERS = 8;
    private static final int LEDGER_RUNNERS = 4;
    private static final int TENANTS = 8;
    private static final int ADDRESSES = 40;
    private static final int STREAMS_PER_S = 134;
    private static final int POSTERS = 24;
    private static final int POST_PAUSE_MS = 600;
    private static final int POST_WORK_MS = 43;
    private static final int STREAM_EVENTS = 17;
    private static final int EVENT_PAUSE_MS = 150;
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int HEADER_LINES = 200;
    private static final int HEADER_BYTES = 15_600;
    private static final int KILL_AFTER_MS = 8000;
    private static final int END_AFTER_MS = 70_000;
    /** The rule allows as many. */
    private static final int ALLOWED = 3;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final Map<String, AtomicInteger> ANSWERS = new ConcurrentHashMap<>();
    /** Attempts that a runner has run. */
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    /** Connections that wait for the next stream. */
    private static final ConcurrentLinkedDeque<Connection> IDLE = new ConcurrentLinkedDeque<>();

    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger STREAMS_OPEN = new AtomicInteger();
    private static volatile List<Deployment.Node> rotation = List.of();
    private static volatile boolean stopped;

    /** A connection of a caller, and the number of answers that it has carried. */
    private record Connection(Socket socket, InputStream in, AtomicInteger answered) {
        boolean isToSurvivor() {
            return socket.getInetAddress().getHostAddress().equals("127.0.0.11");
        }
    }

    private AnswersWithoutRoom() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Store store = new Store();
                Deployment deployment = new Deployment(store, Path.of(arguments[0]))) {
            play(store, deployment);
            deployment.log("answers " + new TreeMap<>(ANSWERS));
            deployment.log("requests that a runner ran and whose kept connection was closed without an answer: "
                    + LOST + " (allowed " + ALLOWED + ")");
            status = LOST.get() > ALLOWED ? 1 : 0;
            deployment.log(status == 1 ? "rule broken" : "rule held");
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static void play(Store store, Deployment deployment) throws IOException {
        store.put("op", "config", configuration());
        for (int i = 0; i < MODEL_RUNNERS + LEDGER_RUNNERS; i++) {
            boolean model = i < MODEL_RUNNERS;
            new Runner("i-" + i, model ? "models" : "ledger", "a", model ? 64 : 6, 0, store, AnswersWithoutRoom::handle);
        }
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            nodes.add(deployment.node(i, "a"));
            nodes.get(i - 1).start();
        }
        for (Deployment.Node node : nodes) {
            node.awaitReady();
        }
        Deployment.sleep(2000);
        rotation = nodes;
        deployment.log("callers start, TROUBLE=" + (TROUBLE ? 1 : 0));
        long start = System.nanoTime();
        Deployment.daemon(() -> {
            for (int number = 0; !stopped; number++) {
                int stream = number;
                Deployment.daemon(() -> stream(deployment, stream));
                Deployment.sleep(number * 1000L / STREAMS_PER_S - (System.nanoTime() - start) / 1_000_000);
            }
        });
        for (int i = 0; i < POSTERS; i++) {
            int poster = i;
            Deployment.daemon(() -> post(deployment, poster));
        }
        boolean killed = false;
        for (long passed = 0; passed < END_AFTER_MS; passed = (System.nanoTime() - start) / 1_000_000) {
            if (TROUBLE && !killed && passed >= KILL_AFTER_MS) {
                killed = true;
                rotation = nodes.subList(0, 1);
                nodes.get(1).kill();
                nodes.get(2).kill();
                deployment.log("front-2 and front-3 killed");
            }
            Deployment.sleep(1000);
            deployment.log("streams open " + STREAMS_OPEN + ", answers " + new TreeMap<>(ANSWERS) + ", memory of front-1 "
                    + nodes.get(0).residentMb("VmRSS") + " MB");
        }
        stopped = true;
        Deployment.sleep(1500);
        nodes.get(0).logLines().filter(line -> line.contains("event=caller_limit")).limit(3).forEach(deployment::log);
    }

    private static String configuration() {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(i > 0 ? "," : "")
                    .append("{\"name\":\"t" + i + "\",\"apiKeys\":[\"key" + i + "\"],\"priority\":1}");
        }
        String common = "\",\"hostname\":\"desk.example\",\"priority\":1,\"attempts\":1,\"public\":false,";
        return "{\"version\":1,\"routes\":[{\"name\":\"r-summary" + common
                + "\"prefix\":\"/summary/\",\"kind\":\"streaming\",\"resumable\":false,\"timeoutMs\":6000,"
                + "\"targetLatencyMs\":600,\"gapTargetMs\":200,\"service\":\"models\"},{\"name\":\"r-post" + common
                + "\"prefix\":\"/post/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":193,"
                + "\"service\":\"ledger\"}],\"services\":["
                + "{\"name\":\"models\",\"healthCheckPath\":\"/health\",\"maxConnections\":370},"
                + "{\"name\":\"ledger\",\"healthCheckPath\":\"/health\",\"maxConnections\":110}],\"limits\":{"
                + "\"maxHeaderBytes\":" + MAXIMUM_HEADER_BYTES
                + ",\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}";
    }

    private static void handle(Runner.Exchange exchange) throws IOException {
        Http.readBody(exchange.in(), exchange.head());
        RUN.add(exchange.attempt());
        if (exchange.head().path().startsWith("/post/")) {
            Deployment.sleep(POST_WORK_MS);
            exchange.succeed("o".repeat(800));
            return;
        }
        OutputStream out = exchange.out();
        out.write(("HTTP/1.1 200 OK\r\nX-Fireflywalk-Attempt-Id: " + exchange.attempt()
                        + "\r\nX-Fireflywalk-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= STREAM_EVENTS; i++) {
            Deployment.sleep(EVENT_PAUSE_MS);
            String event = "id: " + i + "\ndata: " + "w".repeat(50) + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void count(String answer) {
        ANSWERS.computeIfAbsent(answer, name -> new AtomicInteger()).incrementAndGet();
    }

    private static Connection connect(int number) throws IOException {
        List<Deployment.Node> nodes = rotation;
        Deployment.Node node = nodes.get(number % nodes.size());
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress("127.0.1." + (1 + number % ADDRESSES), 0));
        socket.connect(new InetSocketAddress(node.host, node.front), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(6000);
        return new Connection(socket, Http.buffered(socket.getInputStream()), new AtomicInteger());
    }

    private static String longHeader() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < HEADER_LINES; i++) {
            String name = String.format("X-Matter-%03d: ", i);
            lines.append(name).append("v".repeat(HEADER_BYTES / HEADER_LINES - name.length() - 2)).append("\r\n");
        }
        return lines.toString();
    }

    private static void stream(Deployment deployment, int number) {
        STREAMS_OPEN.incrementAndGet();
        try {
            Connection idle = IDLE.pollFirst();
            Connection connection = idle == null ? connect(number) : idle;
            if (exchange(deployment, connection, "stream", "/summary/x", "s" + number, 6000, number, longHeader())) {
                IDLE.addFirst(connection);
            }
        } catch (IOException failure) {
            count("stream not connected");
        } finally {
            STREAMS_OPEN.decrementAndGet();
        }
    }

    /** Sends a request and reads its answer; returns true if the connection stays open. */
    private static boolean exchange(
            Deployment deployment,
            Connection connection,
            String kind,
            String path,
            String attempt,
            int deadline,
            int number,
            String lines)
            throws IOException {
        long sent = System.nanoTime();
        Optional<Http.Head> head = Optional.empty();
        boolean whole = false;
        try {
            connection.socket().getOutputStream().write(head(path, attempt, deadline, number, lines));
            head = Http.readHead(connection.in());
            if (head.isPresent()) {
                Http.readBody(connection.in(), head.get());
                whole = true;
            }
        } catch (IOException closed) {
            // Counted below.
        }
        long passed = (System.nanoTime() - sent) / 1_000_000;
        if (head.isPresent()) {
            count(kind + " " + head.get().status() + (whole ? "" : " cut"));
            boolean open = whole
                    && head.get().header("Connection").filter("close"::equals).isEmpty();
            if (!open) {
                connection.socket().close();
            }
            connection.answered().incrementAndGet();
            return open;
        }
        connection.socket().close();
        Deployment.sleep(100);
        boolean run = RUN.contains(attempt);
        String machine = connection.isToSurvivor() ? "" : ", killed machine";
        count(kind + " closed, " + (run ? "run" : "not run") + machine);
        if (run && connection.isToSurvivor() && connection.answered().get() > 0 && passed < deadline) {
            LOST.incrementAndGet();
            deployment.log(kind + " " + attempt + " was run, and its kept connection closed without an answer after " + passed
                    + " ms");
        }
        return false;
    }

    private static byte[] head(String path, String attempt, int deadline, int number, String lines) {
        return ("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Fireflywalk-Attempt-Id: " + attempt
                        + "\r\nX-Fireflywalk-Deadline-Milliseconds: " + deadline + "\r\nAuthorization: Token key"
                        + number % TENANTS + "\r\n" + lines + "Content-Length: 4\r\n\r\nbody")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends postings on a connection that is kept as long as the machine keeps it. */
    private static void post(Deployment deployment, int poster) {
        Deployment.sleep(poster * (long) POST_PAUSE_MS / POSTERS);
        for (int number = 0; !stopped; ) {
            try {
                Connection connection = connect(poster);
                while (!stopped
                        && exchange(deployment, connection, "post", "/post/x", "p" + poster + "-" + number++, 1000, poster, "")) {
                    Deployment.sleep(POST_PAUSE_MS);
                }
            } catch (IOException failure) {
                count("post not connected");
                Deployment.sleep(POST_PAUSE_MS);
            }
        }
    }
}
