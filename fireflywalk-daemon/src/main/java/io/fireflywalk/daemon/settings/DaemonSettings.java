package io.fireflywalk.daemon.settings;

import java.util.List;

/**
 * All settings of the daemon. Durations are in milliseconds and sizes in bytes.
 *
 * @param instance identity of this instance
 * @param listen ports to listen on; 0 selects a free port
 * @param tableService address of the table service
 * @param configuration polling and freshness of the configuration
 * @param limits limits on requests and connections of callers
 * @param targets connections to targets
 * @param retries retries, circuit breakers and hedging
 * @param routing load polling for the selection of runners
 * @param shutdown graceful shutdown
 * @param usage recording and reporting of usage
 * @param claims idempotency claims
 * @param operatorTls certificate of the operator port
 * @param operatorKeys keys of the operators
 */
public record DaemonSettings(
        Instance instance,
        ListenSettings listen,
        TableServiceAddress tableService,
        ConfigurationSettings configuration,
        CallerLimits limits,
        TargetSettings targets,
        RetrySettings retries,
        RoutingSettings routing,
        ShutdownSettings shutdown,
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
    public record ListenSettings(int callerPort, int operatorPort, int peerPort) {}

    /** Address and call deadline of the table service. */
    public record TableServiceAddress(String host, int port, long deadlineMilliseconds) {}

    /** Polling period and freshness limit of the configuration. */
    public record ConfigurationSettings(long pollMilliseconds, long freshnessLimitMilliseconds) {}

    /** Limits on requests and connections of callers. */
    public record CallerLimits(
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
     * Connections to targets and timeouts of their responses.
     *
     * @param connectMilliseconds timeout of connecting, including the wait for a free connection
     * @param idlePooledMilliseconds idle time after which a pooled connection is closed
     * @param reuseIdleMilliseconds idle time after which a pooled connection is not used for non-idempotent requests
     * @param headMilliseconds timeout for the response head of a streaming request
     * @param wholeAnswerMilliseconds timeout for the response head of a non-streaming request
     * @param firstByteMilliseconds timeout between the head and the first byte of the body
     * @param gapMilliseconds timeout between two chunks of the body
     * @param commentMilliseconds period of SSE comments to the caller while a stream waits for data
     * @param answerBytes maximum size of a non-streaming response
     * @param eventBytes maximum size of one server-sent event
     * @param resumeCharacters maximum length of the generated text kept for resuming a stream
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
     * Retries, circuit breakers and hedging.
     *
     * @param maximumAttempts maximum number of attempts per request
     * @param backoffMilliseconds upper bound of the first delay
     * @param maximumBackoffMilliseconds upper bound of any delay
     * @param budgetPerSuccess retries added to the budget per success, per service and per client account
     * @param budgetPerSecond retries added to the budget per second, independent of successes
     * @param budgetMaximum capacity of the retry budget
     * @param breakerFailures consecutive failures that open the circuit breaker of a target
     * @param breakerOpenMilliseconds time after which an open breaker admits a probe
     * @param hedgeMilliseconds delay before a short idempotent request is hedged; 0 disables hedging
     * @param hedgeBodyBytes maximum body size of a short request
     * @param hedgeTokens maximum token limit of a short request
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

    /** Period of load polls; 0 disables them, so that only this instance's own attempts tell the load of runners. */
    public record RoutingSettings(long loadPollMilliseconds) {}

    /** Delay for the load balancer to stop sending callers, and time limit of draining. */
    public record ShutdownSettings(long balancerDelayMilliseconds, long drainLimitMilliseconds) {}

    /**
     * Recording of usage in windows of time.
     *
     * @param windowMilliseconds length of a window
     * @param flushMilliseconds minimum interval between two flushes of an instance
     * @param fleetFlushesPerSecond maximum rate of flush transactions of the whole fleet
     * @param copyMilliseconds minimum interval between two replication messages to the same peer
     * @param holdMilliseconds maximum time for which the end of a response is held back
     * @param maximumRows maximum number of own rows in memory
     * @param maximumCopiedRows maximum number of rows of other instances in memory
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
     * @param port TCP port of that interface
     * @param callDeadlineMilliseconds timeout of one call
     * @param graceMilliseconds time after the end of a window after which it is closed
     * @param deadlineMilliseconds time after the end of a window after which its report is late
     * @param windowsPerRange number of windows that one lease covers
     * @param correctionWindows age in windows after which late usage is no longer counted
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
     * @param shards number of shards; with the batch interval, limits the claim transactions of the fleet per second
     * @param batchMilliseconds minimum interval between two transactions of a shard
     * @param deadlineMilliseconds time after which a claim that has not been granted is refused
     * @param outcomeHoldMilliseconds maximum time for which the end of a response waits for its outcome to be stored
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

    /** PEM files of the operator port, reloaded when they change; empty names disable TLS. */
    public record OperatorTls(String certificateFile, String keyFile) {}

    /** Name of an operator and the SHA-256 digest of the operator's key in hexadecimal. */
    public record OperatorKey(String name, String digest) {}
}
