package io.fireflywalk.daemon.endtoend;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Java process that a test starts, signals and terminates. */
final class ChildProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 60;

    private final Process process;
    private final BufferedReader output;

    private ChildProcess(Process process) {
        this.process = process;
        this.output = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Runs a main class with the class path of the test; standard error is appended to the log file. */
    static ChildProcess start(Path logFile, Class<?> mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        File log = logFile.toFile();
        return new ChildProcess(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log))
                .start());
    }

    /** Returns the number that the pattern's first group matches in the next line of standard output. */
    int awaitNumber(String pattern) throws IOException {
        String line = output.readLine();
        if (line == null) {
            throw new IOException("process exited before it printed " + pattern);
        }
        return numberIn(line, pattern);
    }

    /** Returns the next line of standard output. */
    String awaitLine() throws IOException {
        return output.readLine();
    }

    /** Returns all remaining standard output. */
    String awaitOutput() throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            text.append(line).append('\n');
        }
        return text.toString();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** Sends a signal by name, for example STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the process exits and returns its exit status. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("process " + process.pid() + " did not exit in time");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    static int numberIn(String line, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(line);
        if (!matcher.find()) {
            throw new IllegalStateException("no match of " + pattern + " in: " + line);
        }
        return Integer.parseInt(matcher.group(1));
    }
}
