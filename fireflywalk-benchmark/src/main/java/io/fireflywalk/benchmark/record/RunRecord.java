package io.fireflywalk.benchmark.record;

import com.fasterxml.jackson.databind.SerializationFeature;
import io.fireflywalk.services.codec.Codec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Result file of one benchmark run, with the environment that it ran in.
 *
 * @param measurement name of the measurement
 * @param commit abbreviated hash of the measured commit
 * @param command command line
 * @param seed seed of the random number generator
 * @param processors number of available processors
 * @param memoryBytes physical memory of the machine
 * @param figures measured values, of a type that the measurement defines
 */
public record RunRecord(
        String measurement,
        String commit,
        String command,
        long seed,
        int processors,
        long memoryBytes,
        Object figures) {

    /** Creates a record with the environment of this process and the checked-out commit. */
    public static RunRecord of(String measurement, String command, long seed, Object figures) throws IOException {
        var machine = (com.sun.management.OperatingSystemMXBean)
                java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        return new RunRecord(
                measurement,
                checkedOutCommit(),
                command,
                seed,
                Runtime.getRuntime().availableProcessors(),
                machine.getTotalMemorySize(),
                figures);
    }

    /** Writes the record as indented JSON. */
    public void write(Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        String text =
                Codec.json().mapper().writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(this);
        Files.writeString(file, text + "\n");
    }

    private static String checkedOutCommit() throws IOException {
        Process process = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    }
}
