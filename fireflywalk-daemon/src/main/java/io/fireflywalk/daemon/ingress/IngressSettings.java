package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of an ingress process. Immutable.
 *
 * @param instance name and place of the instance
 * @param listen addresses as host and port
 * @param store address of the platform's store
 * @param reports address of the usage report interface; empty if usage is not reported
 * @param bounds bounds that the platform's operator sets
 */
public record IngressSettings(Instance instance, Listen listen, String store, String reports, Bounds bounds) {

    /** Name and place of the instance. */
    public record Instance(String name, String availabilityZone, String host) {}

    /**
     * Addresses to listen on.
     *
     * @param callers callers' requests
     * @param readiness readiness checks
     * @param peerPort port for other instances
     * @param metricsPort port of the metrics page
     */
    public record Listen(String callers, String readiness, int peerPort, int metricsPort) {}

    /**
     * Bounds that the platform's operator sets.
     *
     * @param gracePeriodSeconds time from SIGTERM to SIGKILL
     * @param retryBudgetRatio repeated sends of the fleet per request in a window
     * @param retryBudgetAmount repeated sends of the fleet in a window beside the ratio
     * @param retryBudgetWindowSeconds length of the sliding window of the retry budget
     * @param leaseMilliseconds time within which holders of a duty must not take turns
     * @param usageWindowSeconds length of a usage window
     */
    public record Bounds(
            double gracePeriodSeconds,
            double retryBudgetRatio,
            double retryBudgetAmount,
            double retryBudgetWindowSeconds,
            long leaseMilliseconds,
            int usageWindowSeconds) {}

    /** Reads and checks a settings file. */
    public static IngressSettings load(Path file) throws FireflywalkException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, "cannot read settings", file.toString(), exception);
        }
    }

    /** Parses and checks the text of a settings file; reports every problem with its path. */
    public static IngressSettings parse(String yaml, String location) throws FireflywalkException {
        JsonNode tree;
        try {
            tree = Codec.yaml().mapper().readTree(yaml);
        } catch (IOException exception) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, "not valid YAML", location, exception);
        }
        IngressSettings settings = Codec.json().read(tree.toString(), IngressSettings.class, location);
        List<String> problems = new ArrayList<>();
        settings.check(problems);
        if (!problems.isEmpty()) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, String.join("; ", problems), location);
        }
        return settings;
    }

    private void check(List<String> problems) {
        require(!instance.name().isEmpty(), "instance.name must not be empty", problems);
        requireAddress(listen.callers(), "listen.callers", problems);
        requireAddress(listen.readiness(), "listen.readiness", problems);
        requireAddress(store, "store", problems);
        if (!reports.isEmpty()) {
            requireAddress(reports, "reports", problems);
        }
        require(bounds.gracePeriodSeconds() > 0, "bounds.gracePeriodSeconds must be greater than 0", problems);
        require(bounds.retryBudgetRatio() >= 0, "bounds.retryBudgetRatio must not be negative", problems);
        require(bounds.retryBudgetAmount() >= 0, "bounds.retryBudgetAmount must not be negative", problems);
        require(
                bounds.retryBudgetWindowSeconds() > 0,
                "bounds.retryBudgetWindowSeconds must be greater than 0",
                problems);
        require(bounds.leaseMilliseconds() > 0, "bounds.leaseMilliseconds must be greater than 0", problems);
        require(bounds.usageWindowSeconds() > 0, "bounds.usageWindowSeconds must be greater than 0", problems);
    }

    private static void require(boolean condition, String problem, List<String> problems) {
        if (!condition) {
            problems.add(problem);
        }
    }

    private static void requireAddress(String address, String path, List<String> problems) {
        require(address.matches("[0-9.]+:[0-9]+"), path + " must be an IPv4 address and a port", problems);
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
