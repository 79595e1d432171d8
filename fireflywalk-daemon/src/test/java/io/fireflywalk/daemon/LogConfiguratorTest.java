package io.fireflywalk.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against lines that are lost because a process halts while they are queued, such as the reason of its end. */
class LogConfiguratorTest {
    @TempDir
    private Path directory;

    /** Process that logs lines and halts. */
    static final class HaltingProcess {
        private HaltingProcess() {}

        public static void main(String[] arguments) {
            Logger log = Logger.getLogger(HaltingProcess.class);
            int lines = Integer.parseInt(arguments[0]);
            for (int line = 0; line < lines; line++) {
                log.infof("event=line number=%d", line);
            }
            LogConfigurator.flush();
            Runtime.getRuntime().halt(0);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 500})
    void linesBeforeAHaltAreWritten(int lines) throws Exception {
        File log = directory.resolve("log").toFile();
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Dorg.jboss.logging.provider=slf4j",
                        "-cp",
                        System.getProperty("java.class.path"),
                        HaltingProcess.class.getName(),
                        Integer.toString(lines))
                .redirectError(log)
                .start();
        assertEquals(true, process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(
                lines,
                Files.readAllLines(log.toPath()).stream()
                        .filter(line -> line.contains("event=line"))
                        .count());
    }
}
