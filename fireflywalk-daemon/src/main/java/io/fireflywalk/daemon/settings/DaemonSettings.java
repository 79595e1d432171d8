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
        Shutdown shutdown,
        UsageSettings usage,
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
            long slowSenderMilliseconds) {}

    /** Connections to targets. */
    public record TargetSettings(long connectMilliseconds, long idlePooledMilliseconds) {}

    /** Steps of a graceful shutdown. */
    public record Shutdown(long balancerDelayMilliseconds, long drainLimitMilliseconds) {}

    /** Length of a usage window and period of flushes. */
    public record UsageSettings(long windowMilliseconds, long flushMilliseconds) {}

    /** PEM files of the operators' port, reloaded when they change; empty names turn TLS off. */
    public record OperatorTls(String certificateFile, String keyFile) {}

    /** Name of an operator and the hexadecimal SHA-256 digest of the operator's key. */
    public record OperatorKey(String name, String digest) {}
}
