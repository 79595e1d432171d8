import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The holder of the usage duty gets SIGTERM and starts again. Another machine takes the duty over and reports. Then the store is
 * away for a second and comes back from a copy that is some seconds old. With TROUBLE=0 it comes back with all that it had.
 */
final class OlderCopy {
    private static final int MACHINES = 3;
    private static final int TENANTS = 4;
    private static final int CALLERS = 12;
    private static final int WINDOW_MS = 5000;
    /** Times after the end of a window. */
    private static final int COPY_AFTER_MS = 100;

    private static final int TERM_AFTER_MS = 500;
    private static final int TRAFFIC_MS = 12_000;
    private static final int AWAY_MS = 1000;
    private static final int WATCH_MS = 25_000;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final Map<String, AtomicInteger> ANSWERS = new ConcurrentHashMap<>();
    private static volatile List<Deployment.Node> rotation = List.of();
    private static volatile boolean stopped;

    private OlderCopy() {}

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Store store = new Store();
                Deployment deployment = new Deployment(store, Path.of(arguments[0]))) {
            if (play(store, deployment)) {
                status = judge(store, deployment);
            }
            deployment.log("answers " + new TreeMap<>(ANSWERS));
            deployment.log(status == 2 ? "not played" : status == 1 ? "rule broken" : "rule held");
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static boolean play(Store store, Deployment deployment) throws Exception {
        store.put("op", "config", configuration());
        for (int i = 0; i < 4; i++) {
            new Runner("i-" + i, "ledger", "a", 6, 0, store, exchange -> {
                Http.readBody(exchange.in(), exchange.head());
                Deployment.sleep(20);
                exchange.succeed("booked");
            });
        }
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            nodes.add(deployment.node(i, "a"));
            nodes.get(i - 1).start();
        }
        for (Deployment.Node node : nodes) {
            node.awaitReady();
        }
        rotation = nodes;
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Deployment.daemon(() -> call(caller));
        }
        for (int i = 0; i < 200 && store.reports().size() < 2; i++) {
            Deployment.sleep(100);
        }
        Deployment.sleep(TRAFFIC_MS);
        if (store.reports().isEmpty()) {
            return false;
        }
        String first = holder(store);
        Deployment.Node old = nodes.stream().filter(node -> node.name.equals(first)).findFirst().orElseThrow();
        deployment.log("the duty is held by " + first + ", " + store.text("coordination", "lease/usage"));
        long end = (System.currentTimeMillis() / WINDOW_MS + 1) * WINDOW_MS;
        Deployment.sleep(end + COPY_AFTER_MS - System.currentTimeMillis());
        long copy = store.version();
        double copiedAt = Deployment.seconds();
        deployment.log("copy of the store at version " + copy);
        Deployment.sleep(end + TERM_AFTER_MS - System.currentTimeMillis());
        rotation = nodes.stream().filter(node -> node != old).toList();
        old.signal("TERM");
        deployment.log(first + " gets SIGTERM");
        Deployment.daemon(() -> restart(deployment, old));
        long window = end / WINDOW_MS - 1;
        for (int i = 0; i < 150 && !isReportedByAnother(store, window, first); i++) {
            Deployment.sleep(100);
        }
        if (!isReportedByAnother(store, window, first)) {
            return false;
        }
        deployment.log("the duty is held by " + holder(store) + ", " + store.text("coordination", "lease/usage"));
        store.leave();
        deployment.log("the store is away");
        Deployment.sleep(AWAY_MS);
        if (TROUBLE) {
            deployment.log(String.format("the store comes back from a copy that is %.1f s old", Deployment.seconds() - copiedAt));
            store.comeBackFrom(copy);
        } else {
            deployment.log("the store comes back");
            store.comeBack();
        }
        Deployment.sleep(WATCH_MS);
        stopped = true;
        deployment.log("lease at the end: " + store.text("coordination", "lease/usage"));
        return true;
    }

    private static boolean isReportedByAnother(Store store, long window, String first) {
        return store.reports().stream()
                .anyMatch(report -> report.window() == window && !report.holder().equals(first));
    }

    private static String holder(Store store) {
        List<Store.Report> reports = store.reports();
        return reports.get(reports.size() - 1).holder();
    }

    private static void restart(Deployment deployment, Deployment.Node node) {
        for (int i = 0; i < 85 && node.isAlive(); i++) {
            Deployment.sleep(100);
        }
        try {
            if (node.isAlive()) {
                node.kill();
            }
            deployment.log(node.name + " has ended");
            Deployment.sleep(300);
            node.start();
        } catch (IOException failure) {
            deployment.log("not started: " + failure);
        }
    }

    private static int judge(Store store, Deployment deployment) {
        Map<Long, Set<String>> holdersByToken = new HashMap<>();
        Map<Long, Set<Map<String, Object>>> countsByWindow = new HashMap<>();
        int broken = 0;
        for (Store.Report report : store.reports()) {
            deployment.log("usage report " + report);
            if (holdersByToken.computeIfAbsent(report.token(), token -> new HashSet<>()).add(report.holder())
                    && holdersByToken.get(report.token()).size() > 1) {
                broken++;
                deployment.log("two holders have sent the fencing token " + report.token());
            }
            if (report.accepted()
                    && countsByWindow.computeIfAbsent(report.window(), window -> new HashSet<>()).add(report.counts())
                    && countsByWindow.get(report.window()).size() > 1) {
                broken++;
                deployment.log("the platform has accepted two reports with different counts for window " + report.window());
            }
        }
        return broken > 0 ? 1 : 0;
    }

    private static String configuration() {
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            tenants.add("{\"name\":\"t" + i + "\",\"apiKeys\":[\"key" + i + "\"],\"priority\":1}");
        }
        return "{\"version\":1,\"routes\":[{\"name\":\"r-post\",\"hostname\":\"desk.example\",\"prefix\":\"/post/\","
                + "\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":193,\"priority\":2,\"attempts\":1,"
                + "\"public\":false,\"service\":\"ledger\"}],\"services\":["
                + "{\"name\":\"ledger\",\"healthCheckPath\":\"/health\",\"maxConnections\":110}],\"limits\":{"
                + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    private static void call(int caller) {
        for (int number = 0; !stopped; number++) {
            List<Deployment.Node> nodes = rotation;
            Deployment.Node node = nodes.get(number % nodes.size());
            String answer;
            try (Socket socket = new Socket(node.host, node.front)) {
                socket.setSoTimeout(1000);
                InputStream in = Http.buffered(socket.getInputStream());
                socket.getOutputStream()
                        .write(("POST /post/x HTTP/1.1\r\nHost: desk.example\r\nX-Fireflywalk-Attempt-Id: c" + caller + "-"
                                        + number + "\r\nX-Fireflywalk-Deadline-Milliseconds: 1000\r\nAuthorization: Token key"
                                        + caller % TENANTS + "\r\nContent-Length: 4\r\n\r\nbody")
                                .getBytes(StandardCharsets.ISO_8859_1));
                Optional<Http.Head> head = Http.readHead(in);
                answer = head.map(found -> Integer.toString(found.status())).orElse("closed");
            } catch (IOException failure) {
                answer = "no answer";
            }
            ANSWERS.computeIfAbsent(answer, name -> new AtomicInteger()).incrementAndGet();
            Deployment.sleep(250);
        }
    }
}
