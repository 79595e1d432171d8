package io.fireflywalk.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.FireflywalkException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that missing fields keep their defaults and that invalid settings are rejected with the cause named. */
class SettingsLoaderTest {

    @Test
    void missingFieldsKeepTheirDefaults() throws FireflywalkException {
        DaemonSettings settings = SettingsLoader.parse("instance: {name: entry-7}", "test");
        assertEquals("entry-7", settings.instance().name());
        assertEquals(SettingsLoader.defaults().limits(), settings.limits());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    listen: {callerPort: 70000}                     | listen.callerPort
                    listen: {callerPort: many}                      | many
                    listen: {callerPorts: 1}                        | callerPorts
                    limits: {bodyBytes: 0}                          | limits.bodyBytes
                    usage: {flushMilliseconds: -1}                  | usage.flushMilliseconds
                    operatorKeys: [{name: a, digest: abc}]          | operatorKeys[0].digest
                    operatorTls: {certificateFile: a.pem}           | operatorTls
                    instance: [1]                                   | instance
                    just text                                       | settings must be a map
                    'a: {b: '                                       | line
                    """)
    void invalidSettingsAreNamedInTheError(String yaml, String message) {
        FireflywalkException exception =
                assertThrows(FireflywalkException.class, () -> SettingsLoader.parse(yaml, "test.yaml"));
        assertTrue(exception.getMessage().contains(message), exception.getMessage());
        assertTrue(exception.getMessage().contains("test.yaml"), exception.getMessage());
    }
}
