package io.fireflywalk.daemon.settings;

import java.util.List;

/**
 * All settings of the daemon. Durations are in milliseconds and sizes in bytes.
 *
 * @param instance identity of this instance
 * @param listen ports to listen on; 0 takes a free one
 * @param tableService address of the table service
 * @param configuration polling and freshness of the configuration
 * @param limits bounds of what callers may send
 * @param targets connections to targets
 * @param shutdown steps of a graceful shutdown
 * @param usage usage windows
 * @param claims idempotency claims
 * @param operatorKeys hexadecimal SHA-256 digests of the operators' keys
 */
public record DaemonSettings(
        Instance instance,
        Listen listen,
        TableServiceAddress tableService,
        ConfigurationSettings configuration,
        Limits limits,
        TargetSettings targets,
        Shutdown shutdown,
        UsageSettings usage,
        ClaimSettings claims,
        List<String> operatorKeys) {

    public DaemonSettings {
        operatorKeys = List.copyOf(operatorKeys);
    }

    /** Identity of the instance. */
    public record Instance(String name, String region, String availabilityZone, String host) {}

    /** Ports for callers, operators and peers. */
    public record Listen(int callerPort, int operatorPort, int peerPort) {}

    /** Address and call deadline of the table service. */
    public record TableServiceAddress(String host, int port, long deadlineMilliseconds) {}

    /** Polling period and freshness limit of the configuration. */
    public record ConfigurationSettings(long pollMilliseconds, long freshnessLimitMilliseconds) {}

    /** Bounds of what callers may send. */
    public record Limits(
            int bodyBytes,
            long bodyMemoryBytes,
            int headerBytes,
            int requestLineBytes,
            int callerConnections,
            long slowSenderMilliseconds) {}

    /** Connections to targets. */
    public record TargetSettings(long connectMilliseconds, long idlePooledMilliseconds) {}

    /** Steps of a graceful shutdown. */
    public record Shutdown(long balancerDelayMilliseconds, long drainLimitMilliseconds) {}

    /**
     * Usage windows.
     *
     * @param windowMilliseconds length of a window
     * @param flushMilliseconds shortest time between two flushes of an instance
     * @param fleetFlushesPerSecond bound of flush transactions of the fleet
     * @param copyMilliseconds shortest time between two messages to the same peer
     * @param holdMilliseconds longest time that the end of an answer waits
     * @param maximumRows bound of own rows in memory
     * @param maximumCopiedRows bound of other instances' rows in memory
     * @param reports closing and reporting of windows
     */
    public record UsageSettings(
            long windowMilliseconds,
            long flushMilliseconds,
            int fleetFlushesPerSecond,
            long copyMilliseconds,
            long holdMilliseconds,
            int maximumRows,
            int maximumCopiedRows,
            ReportSettings reports) {}

    /**
     * Closing and reporting of usage windows.
     *
     * @param host IP address of the platform's usage report interface
     * @param port TCP port of it
     * @param callDeadlineMilliseconds deadline of one send
     * @param graceMilliseconds time after the end of a window until it is closed
     * @param deadlineMilliseconds time after the end of a window until its report is late
     * @param windowsPerRange windows that one lease covers
     * @param correctionWindows age in windows after which late usage is no longer booked
     */
    public record ReportSettings(
            String host,
            int port,
            long callDeadlineMilliseconds,
            long graceMilliseconds,
            long deadlineMilliseconds,
            int windowsPerRange,
            int correctionWindows) {}

    /**
     * Idempotency claims.
     *
     * @param shards number of shards; with the interval, it bounds the fleet's claim transactions per second
     * @param batchMilliseconds shortest time between two transactions of a shard
     * @param deadlineMilliseconds time after which a claim that is not granted is refused
     * @param outcomeHoldMilliseconds longest time that the end of an answer waits for its outcome to be stored
     * @param expiryHours age after which a claim may be replaced
     * @param objectStoreHost IP address of the object store
     * @param objectStorePort TCP port of the object store
     */
    public record ClaimSettings(
            int shards,
            long batchMilliseconds,
            long deadlineMilliseconds,
            long outcomeHoldMilliseconds,
            int expiryHours,
            String objectStoreHost,
            int objectStorePort) {}
}
