package io.fireflywalk.operator.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against unclear error messages and wrong exit statuses of the command-line client. */
class OperatorMainTest {
    @TempDir
    private Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    static Stream<Arguments> commandLines() {
        return Stream.of(
                Arguments.of(List.of("--help"), 0, ""),
                Arguments.of(List.of("apply", "--help"), 0, ""),
                Arguments.of(List.of(), 2, ""),
                Arguments.of(List.of("unknown"), 2, "unknown"),
                Arguments.of(List.of("apply", "--reason", "x"), 2, "--file"),
                Arguments.of(List.of("key", "create", "--name", "x"), 2, "--account"),
                Arguments.of(List.of("validate", "--file", "absent.yaml"), 3, "absent.yaml"),
                Arguments.of(List.of("get", "--server", "nonsense"), 2, "--server"),
                Arguments.of(List.of("get", "--server", "http://127.0.0.1:1"), 1, "no response from"));
    }

    @ParameterizedTest
    @MethodSource("commandLines")
    void commandReturnsExitStatusAndPrintsError(List<String> arguments, int status, String message) {
        int actual = run(arguments.toArray(new String[0]));
        assertEquals(status, actual, errors.toString(StandardCharsets.UTF_8));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains(message), errors.toString(StandardCharsets.UTF_8));
    }

    @Test
    void controlCharactersAreRemovedFromErrors() {
        run("get", "--server", "http://127.0.0.1:1/\u001b[31m");
        assertTrue(errors.toString(StandardCharsets.UTF_8).indexOf('\u001b') < 0);
    }

    @Test
    void validateListsEveryProblem() throws IOException {
        Path file = Files.writeString(directory.resolve("fleet.yaml"), """
                clientAccounts:
                  - {name: a, shareWeight: -1.0, maximumConcurrentRequests: 0}
                """);
        assertEquals(3, run("validate", "--file", file.toString()));
        String text = errors.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("client_account/a.shareWeight"), text);
        assertTrue(text.contains("client_account/a.maximumConcurrentRequests"), text);
    }

    private int run(String... arguments) {
        return OperatorMain.run(
                arguments,
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }
}
