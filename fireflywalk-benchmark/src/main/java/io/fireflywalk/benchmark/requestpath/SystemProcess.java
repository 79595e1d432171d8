package io.fireflywalk.benchmark.requestpath;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Child process of the measured system. Not thread-safe. */
final class SystemProcess implements AutoCloseable {
    private final Process process;
    private final BufferedReader output;

    private SystemProcess(Process process) {
        this.process = process;
        this.output = process.inputReader(StandardCharsets.UTF_8);
    }

    static SystemProcess start(Path logFile, String heap, Class<?> mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heap,
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        return new SystemProcess(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start());
    }

    String awaitLine() throws IOException {
        return output.readLine();
    }

    int awaitPort() throws IOException {
        return extractNumber(awaitLine(), "port (\\d+)");
    }

    /** Returns the CPU time used so far, or zero if the platform does not report it. */
    Duration processorTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    static int extractNumber(String line, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(line == null ? "" : line);
        if (!matcher.find()) {
            throw new IllegalStateException("process output does not match " + pattern + ": " + line);
        }
        return Integer.parseInt(matcher.group(1));
    }
}
