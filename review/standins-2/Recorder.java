import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Recorder {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        out.printf("%6d ms  %s%n", now(), String.format(format, arguments));
        out.flush();
    }
}
