package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.fireflywalk.core.error.FireflywalkException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a deployment that starts without the quotas or features that its environment states. */
class EnvironmentSettingsTest {
    private static final IngressSettings SETTINGS = new IngressSettings(
            new IngressSettings.Instance("instance", "zone", "10.0.0.1"),
            new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
            "10.0.0.2:1",
            "",
            new IngressSettings.Bounds(8, 0.2, 58, 10, 3000, 5, 2000, 2000));

    @Test
    void emptyVariablesCountAsNotSet() throws Exception {
        IngressSettings settings = EnvironmentSettings.apply(SETTINGS, Map.of("INGRESS_QUOTA_WINDOW_SECONDS", " "));
        assertEquals(Optional.empty(), settings.bounds().quotaWindowSeconds());
        assertEquals(Optional.of(List.of()), settings.features());
    }

    @Test
    void variablesAreAddedToTheFile() throws Exception {
        IngressSettings settings = EnvironmentSettings.apply(
                SETTINGS,
                Map.of(
                        "INGRESS_FEATURES", "base,pressure",
                        "INGRESS_QUOTA_WINDOW_SECONDS", "8",
                        "INGRESS_QUOTA_OVERSHOOT", "0.1",
                        "INGRESS_QUOTA_SLACK_TOKENS", "190000"));
        assertEquals(Optional.of(List.of("base", "pressure")), settings.features());
        assertEquals(Optional.of(8.0), settings.bounds().quotaWindowSeconds());
        assertEquals(Optional.of(0.1), settings.bounds().quotaOvershoot());
        assertEquals(Optional.of(190_000.0), settings.bounds().quotaSlackTokens());
    }

    @Test
    void connectionsOfCallersFollowTheStatedNumberOfOpenFilesNotThatOfTheOperatingSystem() throws Exception {
        IngressSettings settings = EnvironmentSettings.apply(SETTINGS, Map.of("INGRESS_OPEN_FILES", "4100"));
        assertEquals(2050, settings.callerBounds(220_000_000, 64).connections());
    }

    @ParameterizedTest
    @ValueSource(strings = {"eight", "-1"})
    void invalidNumberIsRefused(String window) {
        assertThrows(
                FireflywalkException.class,
                () -> EnvironmentSettings.apply(SETTINGS, Map.of("INGRESS_QUOTA_WINDOW_SECONDS", window)));
    }
}
