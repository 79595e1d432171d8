package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: a store, servers that a script plays, and one entry instance. */
final class Deployment implements AutoCloseable {
    static final String HOST_NAME = "shop.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String TENANT = "huka270";

    private final String host;
    private final Store store;
    private final Path folder;
    private final List<Runner> runners = new ArrayList<>();
    private final ArrayNode routes = Store.JSON.createArrayNode();
    private final ArrayNode services = Store.JSON.createArrayNode();
    private Entry entry;

    Deployment() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        // An address of its own, because the port of the metrics is the same in all settings.
        host = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
        store = new Store(host);
        folder = Files.createTempDirectory("review");
    }

    /** True if the script shall play the disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    void service(String name, int maximumConnections) {
        services.addObject()
                .put("name", name)
                .put("healthCheckPath", "/health")
                .put("maxConnections", maximumConnections)
                .put("protocol", "h1")
                .put("tls", false);
    }

    /** Adds a route with the prefix {@code /NAME/}. */
    ObjectNode route(String name, String service, String kind, int timeoutMs, int targetLatencyMs, int attempts) {
        return routes.addObject()
                .put("name", name)
                .put("hostname", HOST_NAME)
                .put("prefix", "/" + name + "/")
                .put("kind", kind)
                .put("timeoutMs", timeoutMs)
                .put("targetLatencyMs", targetLatencyMs)
                .put("priority", 1)
                .put("service", service)
                .put("attempts", attempts)
                .put("public", false)
                .put("resumable", false);
    }

    Runner runner(String service, int slots, String stage, Runner.Script script) throws IOException {
        String identifier = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong(1L << 40));
        Runner runner = new Runner(host, identifier, script);
        runners.add(runner);
        store.put("servers", identifier, runner.entry(service, slots, stage));
        return runner;
    }

    /** Writes the configuration, starts the entry instance and waits until it is ready. */
    Entry start() throws IOException, InterruptedException {
        configure(7);
        entry = new Entry(host, "front-a-1", store, folder);
        entry.awaitReady();
        // The machine is in touch once its processes have run for contactTimeoutMs.
        TimeUnit.MILLISECONDS.sleep(3500);
        return entry;
    }

    /** Writes the configuration as the operator does; returns once it is acknowledged. */
    void configure(long version) {
        ObjectNode configuration = Store.JSON.createObjectNode().put("version", version);
        configuration.set("routes", routes.deepCopy());
        configuration.set("services", services.deepCopy());
        configuration
                .putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3000)
                .put("idleTimeoutMs", 15_000);
        configuration
                .putArray("tenants")
                .addObject()
                .put("name", TENANT)
                .put("priority", 1)
                .putArray("apiKeys")
                .add(KEY);
        store.put("op", "config", configuration);
    }

    Client connect(int timeoutMilliseconds) throws IOException {
        return new Client(host, entry.callerPort(), timeoutMilliseconds);
    }

    /** Returns the head of a client's request. */
    static String request(String method, String path, String attempt, int deadlineMs, int bodyLength, String... more) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST_NAME
                + "\r\nX-Fireflywalk-Attempt-Id: " + attempt + "\r\nX-Fireflywalk-Deadline-Milliseconds: " + deadlineMs
                + "\r\nAuthorization: Token " + KEY + "\r\n");
        for (String header : more) {
            head.append(header).append("\r\n");
        }
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(bodyLength).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    /** Returns the headers of a short prompt for a model. */
    static String[] prompt(String attempt) {
        return new String[] {
            "X-Fireflywalk-Model: m",
            "X-Fireflywalk-Token-Counts: 291,8",
            "X-Fireflywalk-Prompt-Prefix: 5c1e07a2:55," + attempt.substring(0, 8) + ":236"
        };
    }

    static String attempt() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    @Override
    public void close() throws Exception {
        if (entry != null) {
            entry.close();
        }
        for (Runner runner : runners) {
            runner.close();
        }
        store.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(folder);
    }

    /** A case; returns the exit status. */
    interface Case {
        int run(Deployment deployment, Record record) throws Exception;
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(Path recordFile, Case toRun) {
        int status = 2;
        try (Record record = new Record(recordFile)) {
            record.say("disruption: %s", trouble() ? "on" : "off");
            try (Deployment deployment = new Deployment()) {
                status = toRun.run(deployment, record);
            } catch (Exception exception) {
                record.say("the case could not run: %s", exception);
                exception.printStackTrace();
            }
            record.say("exit status %d", status);
        }
        System.exit(status);
    }
}
