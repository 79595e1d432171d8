package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A configuration changes the timeout of a route to more than half a minute, and clients send requests that take a
 * sound server that long. Each must be answered before its kept connection is closed.
 */
public final class LongerTimeout {
    private static final int FIRST_TIMEOUT_MS = 20_000;
    private static final int CHANGED_TIMEOUT_MS = 45_000;
    private static final int WORK_MS = 36_000;
    private static final int CLIENTS = 10;

    private LongerTimeout() {}

    public static void main(String[] arguments) {
        Deployment.run(Path.of(arguments[0]), LongerTimeout::play);
    }

    private static int play(Deployment deployment, Record record) throws Exception {
        Map<String, Boolean> passedOn = new ConcurrentHashMap<>();
        Map<String, Boolean> answeredByRunner = new ConcurrentHashMap<>();
        deployment.service("desk", 100);
        ObjectNode route = deployment.route("report", "desk", "non_idempotent", FIRST_TIMEOUT_MS, 193, 1);
        for (int index = 0; index < 2; index++) {
            deployment.runner("desk", 16, "", exchange -> {
                if (exchange.bodyLength() > 0) {
                    passedOn.put(exchange.attempt(), true);
                    record.add("run %s at %s", exchange.attempt(), exchange.runner());
                    TimeUnit.MILLISECONDS.sleep(WORK_MS);
                    answeredByRunner.put(exchange.attempt(), true);
                }
                exchange.answer("done");
            });
        }
        deployment.start();
        if (Deployment.trouble()) {
            route.put("timeoutMs", CHANGED_TIMEOUT_MS);
            deployment.configure(8);
            record.say("the configuration changes the timeout of the route to %d ms", CHANGED_TIMEOUT_MS);
        }
        // Longer than configApplyMs, and than contactTimeoutMs after the change.
        TimeUnit.MILLISECONDS.sleep(3500);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int index = 0; index < CLIENTS; index++) {
            clients.execute(() -> {
                String attempt = Deployment.attempt();
                long start = System.nanoTime();
                try (Client client = deployment.connect(CHANGED_TIMEOUT_MS + 2000)) {
                    client.send(Deployment.request("POST", "/report/0", Deployment.attempt(), CHANGED_TIMEOUT_MS, 0));
                    client.readBody(client.readHead());
                    client.send(Deployment.request("POST", "/report/1", attempt, CHANGED_TIMEOUT_MS, 4) + "body");
                    record.add("sent %s", attempt);
                    Wire.Head head = client.readHead();
                    client.readBody(head);
                    record.add("answer %s: status %d after %d ms", attempt, head.status(), millisecondsSince(start));
                    answered.incrementAndGet();
                } catch (IOException lost) {
                    boolean passed = passedOn.containsKey(attempt);
                    record.add("answer %s: %s after %d ms; passed on %s", attempt, lost.getMessage(),
                            millisecondsSince(start), passed);
                    cut.addAndGet(passed ? 1 : 0);
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(CHANGED_TIMEOUT_MS + 5000, TimeUnit.MILLISECONDS);
        record.say("%d requests answered, %d passed on to a sound server and their kept connection closed without an"
                + " answer; the servers ended %d", answered.get(), cut.get(), answeredByRunner.size());
        return cut.get() > 3 ? 1 : answered.get() > 0 ? 0 : 2;
    }

    private static long millisecondsSince(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
