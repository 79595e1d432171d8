import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Starts the project's own processes with the command and the template of the deploy file, on loopback addresses. */
final class Deployment implements AutoCloseable {
    static final int MEMORY_MB = 430;
    private static final long START = System.nanoTime();

    private final Path folder;
    private final PrintWriter record;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();

    Deployment(Store store, Path record) throws IOException {
        this.store = store;
        this.folder = Files.createTempDirectory("review-3-");
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        // A run that is ended from outside must not leave processes behind.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::destroy)));
    }

    /** Writes a line to the record, with the seconds since the start. */
    synchronized void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - START) / 1e9, line);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** A process of the system with its addresses. */
    final class Node {
        final String name;
        final String host;
        final int front;
        final int ready;
        private final Path settings;
        private final Path output;
        private Process process;

        Node(int number, String zone) throws IOException {
            name = "front-" + number;
            host = "127.0.0." + (10 + number);
            front = freePort(host);
            ready = freePort(host);
            Map<String, String> values = new HashMap<>();
            values.put("nodeName|json", Json.quote(name));
            values.put("zone|json", Json.quote(zone));
            values.put("ipAddress|json", Json.quote(host));
            values.put("listen.front|json", Json.quote(host + ":" + front));
            values.put("listen.ready|json", Json.quote(host + ":" + ready));
            values.put("internalPorts.0", Integer.toString(freePort(host)));
            values.put("platform.address|json", Json.quote(store.address()));
            values.put("cloud.address", store.address());
            values.put("bounds.gracePeriodS", "8");
            values.put("bounds.retryBudgetRatio", "0.2");
            values.put("bounds.budgetExtraRetries", "54");
            values.put("bounds.budgetWindowS", "10");
            values.put("bounds.leaseMs", "3000");
            values.put("bounds.usageWindowS", "5");
            values.put("bounds.configApplyMs", "2000");
            values.put("bounds.drainMs", "2000");
            String text = Files.readString(Path.of("deploy/settings.yaml"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            settings = folder.resolve(name + ".yaml");
            output = folder.resolve(name + ".log");
            Files.writeString(settings, text);
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring("run = \"".length(), line.length() - 1))
                    .findFirst()
                    .orElseThrow()
                    .replace("/etc/fireflywalk/settings.toml", settings.toString());
            ProcessBuilder builder = new ProcessBuilder(run.split(" "))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            builder.environment().clear();
            for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (System.getenv(kept) != null) {
                    builder.environment().put(kept, System.getenv(kept));
                }
            }
            builder.environment().put("FIREFLYWALK_NODE_FILE", settings.toString());
            builder.environment()
                    .put(
                            "INGRESS_FEATURES",
                            "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform");
            builder.environment().put("INGRESS_OPEN_FILES", "4100");
            builder.environment().put("INGRESS_QUOTA_WINDOW_SECONDS", "");
            builder.environment().put("INGRESS_QUOTA_OVERSHOOT", "");
            builder.environment().put("INGRESS_QUOTA_SLACK_TOKENS", "");
            process = builder.start();
            log(name + " started, pid " + process.pid());
        }

        boolean isReady() {
            try (Socket socket = new Socket(host, ready)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write(("GET /v1/readiness HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                return Http.readHead(socket.getInputStream()).filter(head -> head.status() == 200).isPresent();
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    log(name + " ready");
                    return;
                }
                sleep(100);
            }
            throw new IOException(name + " does not get ready");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitValue() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        private void destroy() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        void kill() {
            destroy();
            try {
                process.waitFor();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Returns the resident memory in MB, as the field of the process's status file tells it; 0 if it has ended. */
        int residentMb(String field) {
            try {
                return Files.readAllLines(
                                Path.of("/proc", Long.toString(process.pid()), "status"), StandardCharsets.ISO_8859_1)
                        .stream()
                        .filter(line -> line.startsWith(field + ":"))
                        .mapToInt(line -> Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024)
                        .findFirst()
                        .orElse(0);
            } catch (IOException ended) {
                return 0;
            }
        }

        Stream<String> logLines() throws IOException {
            return Files.readAllLines(output, StandardCharsets.ISO_8859_1).stream();
        }
    }

    Node node(int number, String zone) throws IOException {
        Node node = new Node(number, zone);
        nodes.add(node);
        return node;
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            if (node.process != null) {
                node.kill();
            }
        }
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
    }
}
