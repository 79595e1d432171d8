package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.IngressSettings.Bounds;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Settings that only some deployments have, from environment variables. A template cannot leave a field of the settings
 * file out, but it can render an empty variable, which counts as not set. Stateless.
 */
public final class EnvironmentSettings {
    /** Names of the platform's features in force, separated by commas; unknown ones are ignored. */
    static final String FEATURES = "INGRESS_FEATURES";
    /** Sliding window of quotas in seconds. */
    static final String QUOTA_WINDOW = "INGRESS_QUOTA_WINDOW_SECONDS";
    /** Fraction by which a quota may be exceeded in a window. */
    static final String QUOTA_OVERSHOOT = "INGRESS_QUOTA_OVERSHOOT";
    /** Tokens by which a quota may be exceeded in a window. */
    static final String QUOTA_SLACK = "INGRESS_QUOTA_SLACK_TOKENS";
    /** Files, with sockets, that the process may have open; the operating system's limit may state another number. */
    static final String OPEN_FILES = "INGRESS_OPEN_FILES";

    private EnvironmentSettings() {}

    /** Returns the settings with those of the environment, which take precedence over the file. */
    public static IngressSettings apply(IngressSettings settings, Map<String, String> environment)
            throws FireflywalkException {
        Bounds bounds = settings.bounds();
        List<String> features = new ArrayList<>(settings.features().orElse(List.of()));
        Stream.of(text(environment, FEATURES).orElse("").split(","))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .forEach(features::add);
        Bounds changed = new Bounds(
                bounds.gracePeriodSeconds(),
                bounds.retryBudgetRatio(),
                bounds.retryBudgetAmount(),
                bounds.retryBudgetWindowSeconds(),
                bounds.leaseMilliseconds(),
                bounds.usageWindowSeconds(),
                bounds.configurationMilliseconds(),
                bounds.leavingTargetMilliseconds(),
                number(environment, QUOTA_WINDOW).or(bounds::quotaWindowSeconds),
                number(environment, QUOTA_OVERSHOOT).or(bounds::quotaOvershoot),
                number(environment, QUOTA_SLACK).or(bounds::quotaSlackTokens));
        IngressSettings result = new IngressSettings(
                settings.instance(),
                settings.listen(),
                settings.store(),
                settings.reports(),
                changed,
                Optional.of(features),
                number(environment, OPEN_FILES)
                        .map(files -> settings.callerSettings().withOpenFiles(files.longValue()))
                        .or(settings::callerLimits));
        result.requireValid("environment");
        return result;
    }

    private static Optional<String> text(Map<String, String> environment, String name) {
        return Optional.ofNullable(environment.get(name)).map(String::strip).filter(value -> !value.isEmpty());
    }

    private static Optional<Double> number(Map<String, String> environment, String name) throws FireflywalkException {
        Optional<String> value = text(environment, name);
        try {
            return value.map(Double::valueOf);
        } catch (NumberFormatException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, name + " must be a number, not " + value.get(), "environment");
        }
    }
}
