package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry instance, started as a process of its own with the command and the settings' template of the deploy file.
 * Run from the root of the repository.
 */
final class Entry implements AutoCloseable {
    static final String ZONE = "zone-a";
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z0-9.]+)(\\|json)?}}");

    private final Process process;
    private final String host;
    private final int callerPort;
    private final int readinessPort;

    Entry(String host, String name, Store store, Path folder) throws IOException {
        this.host = host;
        this.callerPort = freePort(host);
        this.readinessPort = freePort(host);
        Map<String, String> values = new HashMap<>();
        values.put("nodeName", name);
        values.put("zone", ZONE);
        values.put("ipAddress", host);
        values.put("listen.front", host + ":" + callerPort);
        values.put("listen.ready", host + ":" + readinessPort);
        values.put("internalPorts.0", Integer.toString(freePort(host)));
        values.put("platform.address", store.address());
        values.put("cloud.address", "");
        values.put("bounds.gracePeriodS", "8");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.budgetExtraRetries", "54");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.leaseMs", "3000");
        values.put("bounds.usageWindowS", "5");
        values.put("bounds.configApplyMs", "2000");
        values.put("bounds.drainMs", "2000");
        String template = Files.readString(Path.of("deploy/settings.yaml"));
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder settings = new StringBuilder();
        while (matcher.find()) {
            String value = values.get(matcher.group(1));
            if (value == null) {
                throw new IOException("no value of " + matcher.group(1));
            }
            matcher.appendReplacement(settings, matcher.group(2) == null ? value : "\"" + value + "\"");
        }
        matcher.appendTail(settings);
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        List<String> words = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            words.add(word.equals("/etc/fireflywalk/settings.toml") ? file.toString() : word);
        }
        process = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile())
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until the readiness check succeeds. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (readiness(1000) != 200) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the entry instance is not ready");
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /** Returns the status of the readiness check, or 0 without an answer within the time. */
    int readiness(int milliseconds) {
        try (Client client = new Client(host, readinessPort, milliseconds)) {
            client.send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            return client.readHead().status();
        } catch (IOException unavailable) {
            return 0;
        }
    }

    int callerPort() {
        return callerPort;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the exit status, or -1 if the process runs. */
    int exitStatus() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }
}
