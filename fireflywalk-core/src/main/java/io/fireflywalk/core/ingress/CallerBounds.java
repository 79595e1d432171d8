package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits that protect an instance from its callers. No caller within the limits of a configuration meets the defaults.
 *
 * @param headBytes bytes of the header lines of a head, or of trailers, with the ends of lines
 * @param headLines lines of a head, or of trailers
 * @param foldedLines lines of a head, or of trailers, that continue the line before
 * @param emptyLineBytes bytes before a request line
 * @param pipelinedRequests requests of a connection that are decoded and not answered; more wait undecoded
 * @param headTime time from the first byte of a head to its end, where the configuration states none
 * @param connections open connections of callers
 * @param internalConnections open connections of the other listeners together
 * @param memoryBytes memory for all that is held on behalf of callers, except for request bodies
 */
public record CallerBounds(
        int headBytes,
        int headLines,
        int foldedLines,
        int emptyLineBytes,
        int pipelinedRequests,
        Duration headTime,
        int connections,
        int internalConnections,
        long memoryBytes) {
    /** Four times the largest head of the known configurations. */
    public static final int DEFAULT_HEAD_BYTES = 65_536;
    /** A head of 16 KiB has at most 5,461 lines, of which the shortest are a name, a colon and the end of the line. */
    public static final int DEFAULT_HEAD_LINES = 6000;
    /** Each folded line copies the value so far. */
    public static final int DEFAULT_FOLDED_LINES = 100;

    public static final int DEFAULT_EMPTY_LINE_BYTES = 1024;
    public static final int DEFAULT_PIPELINED_REQUESTS = 16;
    /** The HTTP server pauses a connection of which eight messages wait; fewer requests would not reach them. */
    public static final int MINIMUM_PIPELINED_REQUESTS = 6;

    public static final Duration DEFAULT_HEAD_TIME = Duration.ofSeconds(10);
    private static final int MAXIMUM_INTERNAL_CONNECTIONS = 128;
    /** The other half is for connections to targets, of which there are as many as requests in progress. */
    private static final int DESCRIPTORS_DIVISOR = 2;

    private static final int INTERNAL_DESCRIPTORS_DIVISOR = 10;
    /**
     * Files of classes, of which a class path of many jars keeps 150 open, connections to one target and to the store, and
     * connections that are being closed.
     */
    private static final int RESERVED_DESCRIPTORS = 248;

    private static final int MINIMUM_CONNECTIONS = 16;

    /** Returns the bytes of the header lines that a request may have; empty if no configuration has been read. */
    public int headBytesWith(Optional<CallerLimits> configured) {
        return configured.map(limits -> Math.min(headBytes, limits.headBytes())).orElse(headBytes);
    }

    /** Returns the connections of callers for a process that may open a number of files. */
    public static int connectionsFor(long descriptors) {
        long connections = Math.min(descriptors / DESCRIPTORS_DIVISOR, descriptors - RESERVED_DESCRIPTORS);
        return (int) Math.max(MINIMUM_CONNECTIONS, Math.min(Integer.MAX_VALUE, connections));
    }

    /** Returns the connections of the other listeners for a process that may open a number of files. */
    public static int internalConnectionsFor(long descriptors) {
        long connections = Math.min(MAXIMUM_INTERNAL_CONNECTIONS, descriptors / INTERNAL_DESCRIPTORS_DIVISOR);
        return (int) Math.max(MINIMUM_CONNECTIONS, connections);
    }
}
