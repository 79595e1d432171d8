package io.fireflywalk.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.time.Duration;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard error. Reading the same configuration from XML takes a third of the processor time of
 * a start. A file named by the system property {@code logback.configurationFile} takes precedence.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String CONFIGURATION_FILE_PROPERTY = "logback.configurationFile";
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %logger{0} %msg%n%rEx";
    private static final int QUEUE_LINES = 8192;
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(400);

    /** Writes the lines that are still queued. Must be called before the process halts, which would lose them. */
    static void flush() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (System.getProperty(CONFIGURATION_FILE_PROPERTY) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        // Never blocks the event loop on a slow log reader: drops lines below WARN when the queue is nearly full.
        AsyncAppender asynchronous = new AsyncAppender();
        asynchronous.setContext(context);
        asynchronous.setQueueSize(QUEUE_LINES);
        asynchronous.setNeverBlock(true);
        asynchronous.setMaxFlushTime((int) FLUSH_TIMEOUT.toMillis());
        asynchronous.addAppender(console);
        asynchronous.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(asynchronous);
        context.getLogger("io.netty").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
