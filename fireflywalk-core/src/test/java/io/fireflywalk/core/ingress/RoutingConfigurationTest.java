package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against routing requests to the service of another host or of a shorter prefix. */
class RoutingConfigurationTest {
    private final RoutingConfiguration configuration = new RoutingConfiguration(
            7,
            List.of(
                    route("short", "a.example", "/x/", RequestKind.IDEMPOTENT, false),
                    route("long", "a.example", "/x/y/", RequestKind.IDEMPOTENT, false),
                    route("other", "b.example", "/x/", RequestKind.IDEMPOTENT, false)),
            List.of(),
            Map.of("key", "account"),
            true,
            new CallerLimits(1000, 16_384, Duration.ofSeconds(1), Duration.ofSeconds(1)));

    static HostRoute route(String name, String host, String prefix, RequestKind kind, boolean resumable) {
        return new HostRoute(
                name,
                host,
                prefix,
                kind,
                resumable,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                2,
                0,
                List.of(new WeightedService("first", 90), new WeightedService("second", 10)));
    }

    @ParameterizedTest
    @CsvSource({
        "a.example, /x/1, short",
        "a.example, /x/y/1, long",
        "a.example, /x/y, short",
        "b.example, /x/y/1, other",
        "a.example, /z/, ''",
        "c.example, /x/1, ''"
    })
    void longestPrefixOfTheHostWins(String host, String path, String expected) {
        assertEquals(
                expected, configuration.route(host, path).map(HostRoute::name).orElse(""));
    }

    @ParameterizedTest
    @CsvSource({"0, first", "0.89, first", "0.91, second", "0.999, second"})
    void servicesAreChosenByWeight(double draw, String expected) {
        assertEquals(
                expected,
                route("any", "a.example", "/", RequestKind.IDEMPOTENT, false).pickService(draw));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, false, true",
        "NON_IDEMPOTENT, false, false",
        "NON_IDEMPOTENT, true, false",
        "STREAMING, false, false",
        "STREAMING, true, true"
    })
    void onlyIdempotentRequestsAndResumableStreamsMayRunAgain(RequestKind kind, boolean resumable, boolean expected) {
        assertEquals(expected, route("any", "a.example", "/", kind, resumable).retryable());
    }

    @Test
    void findsTheAccountOfAKey() {
        assertEquals(Optional.of("account"), configuration.accountForKey("key"));
        assertTrue(configuration.accountForKey("other").isEmpty());
        assertTrue(configuration.requiresApiKeys());
        assertFalse(configuration.service("none").isPresent());
    }
}
