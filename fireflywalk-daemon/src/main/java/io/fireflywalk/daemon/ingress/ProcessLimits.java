package io.fireflywalk.daemon.ingress;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jboss.logging.Logger;

/** Limits that the operating system sets to the process. */
final class ProcessLimits {
    private static final Logger LOG = Logger.getLogger(ProcessLimits.class);
    /** Soft limits by name, one a line: name, soft limit, hard limit and unit in columns. */
    private static final Path FILE = Path.of("/proc/self/limits");

    private static final String OPEN_FILES = "Max open files";
    /** The usual soft limit of Linux, where the file does not state one. */
    private static final long DEFAULT_OPEN_FILES = 1024;

    private ProcessLimits() {}

    /** Returns the number of files, with sockets, that the process may have open. */
    static long openFiles() {
        try {
            return Files.readAllLines(FILE).stream()
                    .filter(line -> line.startsWith(OPEN_FILES))
                    .map(line -> line.substring(OPEN_FILES.length()).strip().split(" ", -1)[0])
                    .filter(limit -> limit.matches("[0-9]{1,18}"))
                    .map(Long::parseLong)
                    .findFirst()
                    .orElse(DEFAULT_OPEN_FILES);
        } catch (IOException exception) {
            LOG.warnf("event=limits_not_read cause=\"%s\"", exception);
            return DEFAULT_OPEN_FILES;
        }
    }
}
