package io.fireflywalk.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.ConfigurationFile;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against YAML output that is non-deterministic, cannot be parsed or is invalid. */
class FleetConfigurationTest {

    @Test
    void yamlDoesNotDependOnOrderOfBuilderCalls() throws FireflywalkException {
        String forward = FleetConfiguration.builder()
                .clientAccount("audit", 1)
                .clientAccount("county", 3)
                .modelService("draft", options -> options)
                .build()
                .toYaml();
        String backward = FleetConfiguration.builder()
                .modelService("draft", options -> options)
                .clientAccount("county", 3)
                .clientAccount("audit", 1)
                .build()
                .toYaml();
        assertEquals(forward, backward);
    }

    @Test
    void yamlRoundTripKeepsDocuments() throws FireflywalkException {
        String yaml = validBuilder().build().toYaml();
        ConfigurationFile file = Codec.yaml().read(yaml, ConfigurationFile.class, "test");
        ConfigurationSnapshot snapshot =
                ConfigurationSnapshot.empty().apply(1, file.changesFrom(ConfigurationSnapshot.empty()));
        assertEquals(5, snapshot.documents().size());
        assertTrue(snapshot.target("draft-1").isPresent());
        assertTrue(
                file.apiKeys().isEmpty(),
                "a configuration without API keys must not remove keys created with the key command");
    }

    static Stream<Arguments> invalidConfigurations() {
        return Stream.of(
                Arguments.of("client_account/x.shareWeight", validBuilder().clientAccount("x", 0)),
                Arguments.of("client_account/Bad Name.name", validBuilder().clientAccount("Bad Name", 1)),
                Arguments.of(
                        "service/p.routes[0].pathPrefix",
                        validBuilder().plainService("p", options -> options.route("no-slash", Set.of("GET"), true))),
                Arguments.of(
                        "service/p.routes[0].methods",
                        validBuilder().plainService("p", options -> options.route("/p", Set.of("FETCH"), true))),
                Arguments.of("service/p.routes", validBuilder().plainService("p", options -> options)),
                Arguments.of(
                        "target/t.service",
                        validBuilder().target("t", "absent", "127.0.0.1", 1, options -> options.availabilityZone("a"))),
                Arguments.of(
                        "target/t.host",
                        validBuilder()
                                .target("t", "draft", "host.example", 1, options -> options.availabilityZone("a"))),
                Arguments.of(
                        "target/t.port",
                        validBuilder()
                                .target("t", "draft", "127.0.0.1", 70_000, options -> options.availabilityZone("a"))),
                Arguments.of("target/t.availabilityZone", validBuilder().target("t", "draft", "127.0.0.1", 1, o -> o)),
                Arguments.of("target/t.modelVersion", validBuilder().target("t", "draft", "127.0.0.1", 1, o -> o)),
                Arguments.of("api_key/k.clientAccount", validBuilder().apiKey("k", "absent", "0".repeat(64))),
                Arguments.of("api_key/k.secretDigest", validBuilder().apiKey("k", "county", "secret")),
                Arguments.of("documents", validBuilder().clientAccount("county", 2)));
    }

    @ParameterizedTest
    @MethodSource("invalidConfigurations")
    void problemNamesPathOfInvalidField(String path, FleetConfiguration.Builder builder) {
        FireflywalkException exception = assertThrows(FireflywalkException.class, builder::build);
        assertEquals(ErrorKind.CONFIGURATION_INVALID, exception.kind());
        assertTrue(exception.detail().contains(path + ": "), exception.detail());
    }

    private static FleetConfiguration.Builder validBuilder() {
        return FleetConfiguration.builder()
                .clientAccount("county", 3)
                .modelService("draft", options -> options.minimumTargets(1))
                .plainService("billing", options -> options.route("/billing", Set.of("POST"), false))
                .target(
                        "draft-1",
                        "draft",
                        "127.0.0.1",
                        9001,
                        options -> options.availabilityZone("zone-a")
                                .modelVersion("1")
                                .checksFencingToken())
                .target("billing-1", "billing", "127.0.0.1", 9002, options -> options.availabilityZone("zone-b"));
    }
}
