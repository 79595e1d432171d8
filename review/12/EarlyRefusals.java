import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines of 430 MB; callers send long bodies within the limit of the configuration. Runners that are full refuse such a
 * request before its body is in, keep the connection, and read on slowly. With TROUBLE=0 they read each body at full speed,
 * and answer it.
 */
final class EarlyRefusals {
    private static final int MACHINES = 2;
    private static final int ENDS = 3;
    private static final int MODEL_RUNNERS = 20;
    private static final int LEDGER_RUNNERS = 4;
    private static final int CALLERS_OF_A_MACHINE = 60;
    private static final int TENANTS = 8;
    private static final int MAXIMUM_BODY_BYTES = 4_194_304;
    private static final int BODY_BYTES = 4_190_000;
    private static final int REFUSAL_MS = 30;
    private static final int SLOW_BYTES_PER_S = 100_000;
    private static final int DEADLINE_MS = 6000;
    private static final int PAUSE_MS = 300;
    private static final int LAST_SECOND = 95;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final Map<String, AtomicInteger> ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger RUN = new AtomicInteger();
    private static volatile boolean stopped;

    private EarlyRefusals() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Store store = new Store();
                Deployment deployment = new Deployment(store, Path.of(arguments[0]))) {
            status = play(store, deployment);
            deployment.log("answers " + new TreeMap<>(ANSWERS) + ", refused by runners " + REFUSED + ", run " + RUN);
            deployment.log(status == 1 ? "rule broken" : "rule held");
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static int play(Store store, Deployment deployment) throws IOException {
        store.put("op", "config", configuration());
        for (int i = 0; i < MODEL_RUNNERS + LEDGER_RUNNERS; i++) {
            boolean model = i < MODEL_RUNNERS;
            new Runner("i-" + i, model ? "models" : "ledger", "a", model ? 64 : 6, 65_536, store, EarlyRefusals::handle);
        }
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            nodes.add(deployment.node(i, "a"));
            nodes.get(i - 1).start();
        }
        for (Deployment.Node node : nodes) {
            node.awaitReady();
        }
        Deployment.sleep(1500);
        deployment.log("callers start, TROUBLE=" + (TROUBLE ? 1 : 0));
        for (int i = 0; i < MACHINES * CALLERS_OF_A_MACHINE; i++) {
            int number = i;
            Deployment.daemon(() -> call(nodes.get(number % MACHINES), number));
        }
        int[] ends = new int[MACHINES];
        int[] peaks = new int[MACHINES];
        double nextLine = 0;
        while (Deployment.seconds() < LAST_SECOND) {
            Deployment.sleep(100);
            for (int i = 0; i < MACHINES; i++) {
                Deployment.Node node = nodes.get(i);
                int resident = node.residentMb("VmRSS");
                peaks[i] = Math.max(peaks[i], resident);
                boolean over = resident > Deployment.MEMORY_MB;
                if (over || !node.isAlive()) {
                    ends[i]++;
                    deployment.log(node.name + (over ? " holds " + resident + " MB of " + Deployment.MEMORY_MB
                                    + " and is killed by the platform" : " ended with code " + node.exitValue()));
                    node.kill();
                    Deployment.sleep(500);
                    node.start();
                }
            }
            if (Deployment.seconds() > nextLine) {
                nextLine = Deployment.seconds() + 2;
                deployment.log(String.format(
                        "memory %s MB, answers %s, refused by runners %s, run %s",
                        nodes.stream().map(node -> node.residentMb("VmRSS")).toList(),
                        new TreeMap<>(ANSWERS),
                        REFUSED,
                        RUN));
            }
            if (ends[0] >= ENDS && ends[1] >= ENDS) {
                break;
            }
        }
        stopped = true;
        deployment.log("ends by themselves: " + ends[0] + " and " + ends[1] + ", most memory " + peaks[0] + " and "
                + peaks[1] + " MB");
        return ends[0] >= ENDS && ends[1] >= ENDS ? 1 : 0;
    }

    private static String configuration() {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(i > 0 ? "," : "")
                    .append("{\"name\":\"t" + i + "\",\"apiKeys\":[\"key" + i + "\"],\"priority\":1}");
        }
        String common = "\",\"hostname\":\"desk.example\",\"timeoutMs\":6000,\"targetLatencyMs\":600,\"priority\":1,"
                + "\"attempts\":1,\"public\":false,";
        return "{\"version\":1,\"routes\":[{\"name\":\"r-summary" + common
                + "\"prefix\":\"/summary/\",\"kind\":\"streaming\",\"resumable\":false,\"service\":\"models\"},{\"name\":\"r-post"
                + common + "\"prefix\":\"/post/\",\"kind\":\"non_idempotent\",\"service\":\"ledger\"}],\"services\":["
                + "{\"name\":\"models\",\"healthCheckPath\":\"/health\",\"maxConnections\":370},"
                + "{\"name\":\"ledger\",\"healthCheckPath\":\"/health\",\"maxConnections\":110}],\"limits\":{"
                + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + MAXIMUM_BODY_BYTES
                + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}";
    }

    private static void handle(Runner.Exchange exchange) throws IOException {
        int length = exchange.head().length();
        if (TROUBLE) {
            Deployment.sleep(REFUSAL_MS);
            REFUSED.incrementAndGet();
            exchange.reject();
            read(exchange.in(), length, SLOW_BYTES_PER_S);
        } else {
            read(exchange.in(), length, Integer.MAX_VALUE);
            RUN.incrementAndGet();
            if (exchange.head().path().startsWith("/summary/")) {
                exchange.answer(
                        200,
                        "X-Fireflywalk-Response-Signature: s\r\nContent-Type: text/event-stream\r\n",
                        "id: 1\ndata: x\n\n");
            } else {
                exchange.succeed("booked");
            }
        }
    }

    private static void read(InputStream in, int length, int bytesPerSecond) throws IOException {
        byte[] buffer = new byte[16_384];
        long start = System.nanoTime();
        for (int got = 0; got < length; ) {
            int count = in.read(buffer, 0, Math.min(buffer.length, length - got));
            if (count < 0) {
                throw new IOException("cut body");
            }
            got += count;
            Deployment.sleep((long) (1000.0 * got / bytesPerSecond) - (System.nanoTime() - start) / 1_000_000);
        }
    }

    private static void call(Deployment.Node node, int number) {
        byte[] body = new byte[BODY_BYTES];
        String path = number / MACHINES % 3 == 0 ? "/post/x" : "/summary/x";
        for (int count = 0; !stopped; count++) {
            String answer;
            try (Socket socket = new Socket(node.host, node.front)) {
                socket.setSoTimeout(DEADLINE_MS);
                OutputStream out = socket.getOutputStream();
                out.write(("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Fireflywalk-Attempt-Id: c" + number + "-"
                                + count + "\r\nX-Fireflywalk-Deadline-Milliseconds: " + DEADLINE_MS
                                + "\r\nAuthorization: Token key" + number / MACHINES % TENANTS + "\r\nContent-Length: "
                                + BODY_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
                answer = Http.readHead(socket.getInputStream())
                        .map(head -> Integer.toString(head.status()))
                        .orElse("closed");
            } catch (IOException failure) {
                answer = "no answer";
            }
            ANSWERS.computeIfAbsent(answer, name -> new AtomicInteger()).incrementAndGet();
            Deployment.sleep(PAUSE_MS);
        }
    }
}
