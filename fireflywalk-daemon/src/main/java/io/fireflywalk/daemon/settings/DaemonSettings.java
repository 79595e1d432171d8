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
 * @param retries repeats of failed attempts
 * @param routing choice of runners
 * @param shutdown steps of a graceful shutdown
 * @param usage usage windows
 * @param claims idempotency claims
 * @param operatorTls certificate of the operators' port
 * @param operatorKeys keys of the operators
 */
public record DaemonSettings(
        Instance instance,
        Listen listen,
        TableServiceAddress tableService,
        ConfigurationSettings configuration,
        Limits limits,
        TargetSettings targets,
        RetrySettings retries,
        RoutingSettings routing,
        Shutdown shutdown,
        UsageSettings usage,
        ClaimSettings claims,
        OperatorTls operatorTls,
        List<OperatorKey> operatorKeys) {

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
            long slowSenderMilliseconds,
            long idleCallerMilliseconds,
            int maximumTokens,
            int repeatableBodyBytes) {}

    /**
     * Connections to targets and progress limits of their answers.
     *
     * @param connectMilliseconds limit of connecting, including the wait for a free connection
     * @param idlePooledMilliseconds idle time after which a pooled connection is closed
     * @param reuseIdleMilliseconds idle time beyond which a connection takes no non-idempotent request
     * @param headMilliseconds limit of the wait for the head of a streamed answer
     * @param wholeAnswerMilliseconds limit of the wait for the head of an answer that is not streamed
     * @param firstByteMilliseconds limit between the head and the first byte of the body
     * @param gapMilliseconds limit between two pieces of the body
     * @param commentMilliseconds period of comments to a waiting caller of a stream
     * @param answerBytes bound of an answer that is not streamed
     * @param eventBytes bound of one server-sent event
     * @param resumeCharacters bound of the generated text that is kept for a resume
     */
    public record TargetSettings(
            long connectMilliseconds,
            long idlePooledMilliseconds,
            long reuseIdleMilliseconds,
            long headMilliseconds,
            long wholeAnswerMilliseconds,
            long firstByteMilliseconds,
            long gapMilliseconds,
            long commentMilliseconds,
            int answerBytes,
            int eventBytes,
            int resumeCharacters) {}

    /**
     * Repeats of failed attempts.
     *
     * @param maximumAttempts bound of the attempts of one request
     * @param backoffMilliseconds bound of the first delay
     * @param maximumBackoffMilliseconds largest bound of a delay
     * @param budgetPerSuccess repeats that one success earns, per service and per client account
     * @param budgetPerSecond repeats earned per second without a success
     * @param budgetMaximum largest number of repeats in reserve
     * @param breakerFailures consecutive failures that open the circuit breaker of a target
     * @param breakerOpenMilliseconds time before an open breaker lets a probe through
     * @param hedgeMilliseconds wait before the second attempt of a short idempotent request; 0 for none
     * @param hedgeBodyBytes largest body of a short request
     * @param hedgeTokens largest token bound of a short request
     */
    public record RetrySettings(
            int maximumAttempts,
            long backoffMilliseconds,
            long maximumBackoffMilliseconds,
            double budgetPerSuccess,
            double budgetPerSecond,
            double budgetMaximum,
            int breakerFailures,
            long breakerOpenMilliseconds,
            long hedgeMilliseconds,
            int hedgeBodyBytes,
            int hedgeTokens) {}

    /** Period of load polls; 0 turns them off, so that runners are judged by own attempts only. */
    public record RoutingSettings(long loadPollMilliseconds) {}

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

    /** PEM files of the operators' port, reloaded when they change; empty names turn TLS off. */
    public record OperatorTls(String certificateFile, String keyFile) {}

    /** Name of an operator and the hexadecimal SHA-256 digest of the operator's key. */
    public record OperatorKey(String name, String digest) {}
}
