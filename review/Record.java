package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    synchronized void add(String format, Object... arguments) {
        long milliseconds = (System.nanoTime() - start) / 1_000_000;
        writer.printf("%7d %s%n", milliseconds, String.format(format, arguments));
        writer.flush();
    }

    /** Adds a line that is printed as well. */
    void say(String format, Object... arguments) {
        System.out.println(String.format(format, arguments));
        add(format, arguments);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
