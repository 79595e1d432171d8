package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.CallerBounds;
import io.fireflywalk.core.ingress.CallerMemory;
import io.fireflywalk.core.quota.QuotaTerms;
import io.fireflywalk.services.codec.Codec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an ingress process. Immutable.
 *
 * @param instance name and location of the instance
 * @param listen addresses to listen on
 * @param store address of the platform's store
 * @param reports address of the control plane; empty to disable usage reports and scaling
 * @param bounds limits set by the platform's operator
 * @param features names of the platform's features that are in force on this deployment; unknown ones are ignored
 * @param callerLimits limits that protect the instance from its callers, where they differ from the defaults
 */
public record IngressSettings(
        Instance instance,
        Listen listen,
        String store,
        String reports,
        Bounds bounds,
        Optional<List<String>> features,
        Optional<CallerSettings> callerLimits) {

    public IngressSettings {
        features = features.map(List::copyOf);
    }

    /** Creates settings of a deployment without optional features. */
    public IngressSettings(Instance instance, Listen listen, String store, String reports, Bounds bounds) {
        this(instance, listen, store, reports, bounds, Optional.empty(), Optional.empty());
    }

    /** Name and location of the instance. */
    public record Instance(String name, String availabilityZone, String host) {}

    /**
     * Addresses to listen on.
     *
     * @param callers address for callers' requests
     * @param readiness address for readiness checks
     * @param peerPort port for other instances
     * @param metricsPort port of the metrics page
     */
    public record Listen(String callers, String readiness, int peerPort, int metricsPort) {}

    /**
     * Limits set by the platform's operator.
     *
     * @param gracePeriodSeconds time from SIGTERM to SIGKILL
     * @param retryBudgetRatio retries per request that the fleet may send in a window
     * @param retryBudgetAmount retries that the fleet may send in a window in addition to the ratio
     * @param retryBudgetWindowSeconds length of the sliding window of the retry budget
     * @param leaseMilliseconds term of the lease; it must not change hands within this time
     * @param usageWindowSeconds length of a usage window
     * @param configurationMilliseconds time in which an accepted configuration must be in force
     * @param leavingTargetMilliseconds time after which a leaving target must not receive new requests
     * @param quotaWindowSeconds sliding window of quotas; empty on deployments without quotas, which are then not limited
     * @param quotaOvershoot fraction by which a quota may be exceeded in a window; 0 if empty
     * @param quotaSlackTokens tokens by which a quota may be exceeded in a window; 0 if empty
     */
    public record Bounds(
            double gracePeriodSeconds,
            double retryBudgetRatio,
            double retryBudgetAmount,
            double retryBudgetWindowSeconds,
            long leaseMilliseconds,
            int usageWindowSeconds,
            long configurationMilliseconds,
            long leavingTargetMilliseconds,
            Optional<Double> quotaWindowSeconds,
            Optional<Double> quotaOvershoot,
            Optional<Double> quotaSlackTokens) {

        /** Creates bounds of a deployment without quotas. */
        public Bounds(
                double gracePeriodSeconds,
                double retryBudgetRatio,
                double retryBudgetAmount,
                double retryBudgetWindowSeconds,
                long leaseMilliseconds,
                int usageWindowSeconds,
                long configurationMilliseconds,
                long leavingTargetMilliseconds) {
            this(
                    gracePeriodSeconds,
                    retryBudgetRatio,
                    retryBudgetAmount,
                    retryBudgetWindowSeconds,
                    leaseMilliseconds,
                    usageWindowSeconds,
                    configurationMilliseconds,
                    leavingTargetMilliseconds,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
        }

        /** Returns what may be used beyond quotas; empty on deployments without quotas. */
        public Optional<QuotaTerms> quotaTerms() {
            return quotaWindowSeconds.map(
                    window -> new QuotaTerms(window, quotaOvershoot.orElse(0.0), quotaSlackTokens.orElse(0.0)));
        }

        /** Returns the shortest time in which a change in the store must take effect. */
        public Duration changeDeadline() {
            return Duration.ofMillis(Math.min(configurationMilliseconds, leavingTargetMilliseconds));
        }
    }

    /** Limits that protect the instance from its callers; each has a default. */
    public record CallerSettings(
            Optional<Integer> headBytes,
            Optional<Integer> headLines,
            Optional<Integer> foldedLines,
            Optional<Integer> emptyLineBytes,
            Optional<Integer> pipelinedRequests,
            Optional<Integer> headMilliseconds,
            Optional<Integer> connections,
            Optional<Integer> internalConnections,
            Optional<Long> memoryBytes) {
        /** Returns the settings of a process that may open a number of files; a stated limit of connections stays. */
        CallerSettings withOpenFiles(long files) {
            return new CallerSettings(
                    headBytes,
                    headLines,
                    foldedLines,
                    emptyLineBytes,
                    pipelinedRequests,
                    headMilliseconds,
                    connections.or(() -> Optional.of(CallerBounds.connectionsFor(files))),
                    internalConnections,
                    memoryBytes);
        }

        /** Returns settings that state nothing. */
        static CallerSettings defaults() {
            return new CallerSettings(
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
        }
    }

    CallerSettings callerSettings() {
        return callerLimits.orElseGet(CallerSettings::defaults);
    }

    /** Returns the limits that protect a process with a heap and a number of files that it may open from its callers. */
    public CallerBounds callerBounds(long heapBytes, long openFiles) {
        CallerSettings stated = callerSettings();
        return new CallerBounds(
                stated.headBytes().orElse(CallerBounds.DEFAULT_HEAD_BYTES),
                stated.headLines().orElse(CallerBounds.DEFAULT_HEAD_LINES),
                stated.foldedLines().orElse(CallerBounds.DEFAULT_FOLDED_LINES),
                stated.emptyLineBytes().orElse(CallerBounds.DEFAULT_EMPTY_LINE_BYTES),
                stated.pipelinedRequests().orElse(CallerBounds.DEFAULT_PIPELINED_REQUESTS),
                stated.headMilliseconds().map(Duration::ofMillis).orElse(CallerBounds.DEFAULT_HEAD_TIME),
                stated.connections().orElse(CallerBounds.connectionsFor(openFiles)),
                stated.internalConnections().orElse(CallerBounds.internalConnectionsFor(openFiles)),
                stated.memoryBytes().orElse(CallerMemory.bytesOfHeap(heapBytes)));
    }

    /** Reads and validates a settings file. */
    public static IngressSettings load(Path file) throws FireflywalkException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, "cannot read the settings file", file.toString(), exception);
        }
    }

    /** Parses and validates a settings file; reports every invalid setting with its path. */
    public static IngressSettings parse(String yaml, String location) throws FireflywalkException {
        JsonNode root;
        try {
            root = Codec.yaml().mapper().readTree(yaml);
        } catch (IOException exception) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, "not valid YAML", location, exception);
        }
        IngressSettings settings = Codec.json().read(root.toString(), IngressSettings.class, location);
        settings.requireValid(location);
        return settings;
    }

    /** Fails with every invalid setting and its path. */
    void requireValid(String location) throws FireflywalkException {
        List<String> problems = new ArrayList<>();
        validate(problems);
        if (!problems.isEmpty()) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, String.join("; ", problems), location);
        }
    }

    private void validate(List<String> problems) {
        requireThat(!instance.name().isEmpty(), "instance.name must not be empty", problems);
        requireAddress(listen.callers(), "listen.callers", problems);
        requireAddress(listen.readiness(), "listen.readiness", problems);
        requireAddress(store, "store", problems);
        if (!reports.isEmpty()) {
            requireAddress(reports, "reports", problems);
        }
        requireThat(bounds.gracePeriodSeconds() > 0, "bounds.gracePeriodSeconds must be greater than 0", problems);
        requireThat(bounds.retryBudgetRatio() >= 0, "bounds.retryBudgetRatio must not be negative", problems);
        requireThat(bounds.retryBudgetAmount() >= 0, "bounds.retryBudgetAmount must not be negative", problems);
        requireThat(
                bounds.retryBudgetWindowSeconds() > 0,
                "bounds.retryBudgetWindowSeconds must be greater than 0",
                problems);
        requireThat(bounds.leaseMilliseconds() > 0, "bounds.leaseMilliseconds must be greater than 0", problems);
        requireThat(bounds.usageWindowSeconds() > 0, "bounds.usageWindowSeconds must be greater than 0", problems);
        requireThat(
                bounds.configurationMilliseconds() > 0,
                "bounds.configurationMilliseconds must be greater than 0",
                problems);
        requireThat(
                bounds.leavingTargetMilliseconds() > 0,
                "bounds.leavingTargetMilliseconds must be greater than 0",
                problems);
        requireThat(
                bounds.quotaWindowSeconds().orElse(1.0) > 0,
                "bounds.quotaWindowSeconds must be greater than 0",
                problems);
        requireThat(bounds.quotaOvershoot().orElse(0.0) >= 0, "bounds.quotaOvershoot must not be negative", problems);
        requireThat(
                bounds.quotaSlackTokens().orElse(0.0) >= 0, "bounds.quotaSlackTokens must not be negative", problems);
        validateCallerLimits(problems);
    }

    private void validateCallerLimits(List<String> problems) {
        CallerBounds stated = callerBounds(0, 0);
        String path = "callerLimits.";
        requireThat(stated.headBytes() > 0, path + "headBytes must be greater than 0", problems);
        requireThat(stated.headLines() > 0, path + "headLines must be greater than 0", problems);
        requireThat(stated.foldedLines() >= 0, path + "foldedLines must not be negative", problems);
        requireThat(stated.emptyLineBytes() >= 0, path + "emptyLineBytes must not be negative", problems);
        requireThat(
                stated.pipelinedRequests() >= CallerBounds.MINIMUM_PIPELINED_REQUESTS,
                path + "pipelinedRequests must be at least " + CallerBounds.MINIMUM_PIPELINED_REQUESTS,
                problems);
        requireThat(!stated.headTime().isNegative(), path + "headMilliseconds must not be negative", problems);
        requireThat(stated.connections() > 0, path + "connections must be greater than 0", problems);
        requireThat(stated.internalConnections() > 0, path + "internalConnections must be greater than 0", problems);
        requireThat(stated.memoryBytes() > 0, path + "memoryBytes must be greater than 0", problems);
    }

    private static void requireThat(boolean condition, String problem, List<String> problems) {
        if (!condition) {
            problems.add(problem);
        }
    }

    private static void requireAddress(String address, String path, List<String> problems) {
        requireThat(address.matches("[0-9.]+:[0-9]+"), path + " must be an IPv4 address and a port", problems);
    }

    /** Returns the host of an address. */
    public static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns the port of an address. */
    public static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
