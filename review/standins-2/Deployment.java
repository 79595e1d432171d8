import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: the platform, runners, and the instances of the system as processes. */
final class Deployment {
    static final int TENANTS = 8;
    static final String HOST = "ficu95.example";

    /** A run of a request at a runner. */
    record Run(String attempt, String runner, long at, boolean fromHandle) {}

    /** An instance of the system. */
    static final class Instance {
        String name;
        String zone;
        String host;
        int callersPort;
        int readinessPort;
        Process process;
        List<String> command;
        Map<String, String> environment;
        Path log;
    }

    final Recorder recorder;
    final Store store;
    final Cloud cloud;
    final List<Runner> runners = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    final Path folder;
    private final String prefix;
    private int nextHost = 2;

    /** Figures of the settings; those of the site that the claims name. */
    final Map<String, String> fields = new TreeMap<>();

    Deployment(Recorder recorder) throws IOException {
        this.recorder = recorder;
        Random random = new Random();
        this.prefix = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        this.folder = Files.createTempDirectory("review-2");
        this.store = new Store(newHost(), recorder);
        this.cloud = new Cloud(newHost(), recorder);
        store.start();
        cloud.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (String figure : List.of(
                "gracePeriodS=8",
                "retryBudgetRatio=0.2",
                "budgetExtraRetries=54",
                "budgetWindowS=10",
                "leaseMs=3000",
                "usageWindowS=5",
                "configApplyMs=2000",
                "drainMs=2000")) {
            fields.put("bounds." + figure.split("=")[0], figure.split("=")[1]);
        }
        fields.put("contracts", "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform");
        fields.put("limits.fileDescriptors", "4100");
        fields.put("platform.address", store.address());
        fields.put("cloud.address", cloud.address());
    }

    String newHost() {
        return prefix + nextHost++;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return probe.getLocalPort();
        }
    }

    static String tenant(int number) {
        return "huka27" + number % TENANTS;
    }

    static String key(int number) {
        return "2b9wu3fexd9dnn2ctnf" + number % TENANTS;
    }

    static String signature(String runner, String attempt) {
        return "s." + runner + "." + attempt;
    }

    static byte[] plainBody(String attempt) {
        return Http.bytes(("body of " + attempt + " ").repeat(20));
    }

    Runner add(Runner runner) {
        runners.add(runner);
        runner.run();
        return runner;
    }

    int recordRun(String attempt, Runner runner, Http.Message request) {
        List<Run> all = runs.computeIfAbsent(attempt, key -> new ArrayList<>());
        synchronized (all) {
            all.add(new Run(attempt, runner.id, recorder.now(), !request.header("X-Fireflywalk-Kv-Source").isEmpty()));
            recorder.write(
                    "begins   id=%s runner=%s run=%d kv_source=%s",
                    attempt, runner.id, all.size(), request.header("X-Fireflywalk-Kv-Source"));
            return all.size();
        }
    }

    /** Takes a handle of the form IP:PORT/HANDLE. */
    boolean takeHandle(String source) {
        int slash = source.indexOf('/');
        return runners.stream()
                .filter(runner -> runner.address().equals(source.substring(0, slash)))
                .anyMatch(runner -> runner.handles.remove(source.substring(slash + 1)));
    }

    // Instances

    Instance startInstance(String name, String zone) throws IOException {
        Instance instance = new Instance();
        instance.name = name;
        instance.zone = zone;
        instance.host = newHost();
        instance.callersPort = freePort(instance.host);
        instance.readinessPort = freePort(instance.host);
        Map<String, String> own = new TreeMap<>(fields);
        own.put("nodeName", name);
        own.put("zone", zone);
        own.put("ipAddress", instance.host);
        own.put("listen.front", instance.host + ":" + instance.callersPort);
        own.put("listen.ready", instance.host + ":" + instance.readinessPort);
        own.put("internalPorts.0", Integer.toString(freePort(instance.host)));
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Path settings = folder.resolve(name + ".settings");
        Files.writeString(settings, render(Files.readString(Path.of(quoted(deploy, "template"))), own));
        instance.command = new ArrayList<>();
        for (String word : quoted(deploy, "run").split(" ")) {
            instance.command.add(word.startsWith("/etc/fireflywalk/") ? settings.toString() : word);
        }
        instance.environment = new TreeMap<>();
        Matcher variable = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"").matcher(deploy.substring(deploy.indexOf("env = {")));
        while (variable.find()) {
            instance.environment.put(variable.group(1), render(variable.group(2), own));
        }
        instance.environment.put("FIREFLYWALK_NODE_FILE", settings.toString());
        instance.log = folder.resolve(name + ".log");
        instances.add(instance);
        launch(instance);
        return instance;
    }

    void launch(Instance instance) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(instance.command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().putAll(instance.environment);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(instance.log.toFile()));
        instance.process = builder.start();
        recorder.write("instance %s started, pid %d", instance.name, instance.process.pid());
    }

    private static String quoted(String deploy, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no " + name);
        }
        return matcher.group(1);
    }

    private static String render(String template, Map<String, String> values) {
        Matcher matcher = Pattern.compile("\\{\\{([a-zA-Z0-9.]+)(\\|json)?}}").matcher(template);
        StringBuilder rendered = new StringBuilder();
        while (matcher.find()) {
            String value = values.getOrDefault(matcher.group(1), "");
            matcher.appendReplacement(
                    rendered, Matcher.quoteReplacement(matcher.group(2) == null ? value : '"' + value + '"'));
        }
        return matcher.appendTail(rendered).toString();
    }

    /** Waits until an instance says that it is ready. */
    boolean awaitReady(Instance instance, long milliseconds) {
        long until = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < until) {
            try (java.net.Socket socket = new java.net.Socket(instance.host, instance.readinessPort)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(Http.bytes("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"));
                Http.Message answer = Http.readHead(Http.buffered(socket.getInputStream()));
                if (answer != null && answer.status() == 200) {
                    recorder.write("instance %s is ready", instance.name);
                    return true;
                }
            } catch (IOException notYet) {
                // Tried again below.
            }
            Server.sleep(50);
        }
        return false;
    }

    void signal(Instance instance, String name) throws IOException {
        recorder.write("instance %s gets SIG%s", instance.name, name);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(instance.process.pid())).start().waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    void close() {
        for (Instance instance : instances) {
            instance.process.destroyForcibly();
            try {
                instance.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(folder);
            } catch (IOException left) {
                recorder.write("the temporary folder is left: %s", left.getMessage());
            }
        } else {
            System.out.println("logs in " + folder);
        }
    }
}
