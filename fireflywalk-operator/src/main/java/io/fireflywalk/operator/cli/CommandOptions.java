package io.fireflywalk.operator.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Options of the commands, filled by the command-line parser. */
final class CommandOptions {
    private CommandOptions() {}

    /** Options that all commands share. */
    static class Common {
        @Parameter(names = "--help", help = true, description = "Show the options of the command")
        boolean help;

        @Parameter(names = "--output", description = "Output format: table or json")
        OutputFormat output = OutputFormat.TABLE;
    }

    /** Options of commands that call an instance. */
    static class Server extends Common {
        @Parameter(names = "--server", description = "URL of the operator API of an instance")
        URI server = URI.create("http://127.0.0.1:8081");

        @Parameter(
                names = "--operator-key",
                description = "Operator key; defaults to the environment variable FIREFLYWALK_OPERATOR_KEY")
        private String operatorKey;

        @Parameter(
                names = "--ca-file",
                description = "PEM file of the certificate authority that signs the instances' certificates")
        private Path certificateAuthorityFile;

        String operatorKey() {
            return Optional.ofNullable(operatorKey)
                    .orElseGet(() -> System.getenv().getOrDefault("FIREFLYWALK_OPERATOR_KEY", ""));
        }

        Optional<Path> certificateAuthorityFile() {
            return Optional.ofNullable(certificateAuthorityFile);
        }
    }

    /** Options of commands that change the configuration. */
    static class Change extends Server {
        @Parameter(names = "--reason", description = "Reason for the change", required = true)
        String reason;

        @Parameter(
                names = "--base-version",
                description = "Version on which the change is based; defaults to the current one")
        private Long baseVersion;

        Optional<Long> baseVersion() {
            return Optional.ofNullable(baseVersion);
        }
    }

    /** Options of the validate command. */
    @Parameters(commandDescription = "Validate a configuration file without contacting an instance")
    static final class Validate extends Common {
        @Parameter(names = "--file", description = "YAML configuration file", required = true)
        Path file;
    }

    /** Options of the diff command. */
    @Parameters(commandDescription = "Show the changes that applying a configuration file would make")
    static final class Diff extends Server {
        @Parameter(names = "--file", description = "YAML configuration file", required = true)
        Path file;
    }

    /** Options of the apply command. */
    @Parameters(commandDescription = "Apply a configuration file")
    static final class Apply extends Change {
        @Parameter(names = "--file", description = "YAML configuration file", required = true)
        Path file;
    }

    /** Options of the get command. */
    @Parameters(commandDescription = "Print the current configuration as YAML")
    static final class Get extends Server {}

    /** Options of the status command. */
    @Parameters(commandDescription = "Show the state of an instance: requests, targets, members, leases, orders")
    static final class Status extends Server {}

    /** Options of the usage command. */
    @Parameters(commandDescription = "Show recorded usage")
    static final class Usage extends Server {}

    /** Options of the key create command. */
    @Parameters(commandDescription = "Create an API key and print it; it cannot be shown again")
    static final class KeyCreate extends Change {
        @Parameter(names = "--account", description = "Client account of the API key", required = true)
        String account;

        @Parameter(names = "--name", description = "Name of the key", required = true)
        String name;
    }

    /** Options of the key withdraw command, which revokes an API key. */
    @Parameters(commandDescription = "Revoke an API key")
    static final class KeyRevoke extends Change {
        @Parameter(names = "--name", description = "Name of the key", required = true)
        String name;
    }

    /** Options of the drain command. */
    @Parameters(commandDescription = "Drain the named targets, or the instance itself if no target is named")
    static final class Drain extends Server {
        @Parameter(description = "target names")
        List<String> targets = new ArrayList<>();

        @Parameter(names = "--reason", description = "Reason for draining the targets")
        String reason = "drain";
    }

    /** Options of the explain command. */
    @Parameters(commandDescription = "Show where an instance of serve would send a request now, without sending it")
    static final class Explain extends Common {
        @Parameter(names = "--instance", description = "HOST:PORT of the metrics page of the instance", required = true)
        String instance;

        @Parameter(names = "--method", description = "Method of the request", required = true)
        String method;

        @Parameter(names = "--path", description = "Path of the request", required = true)
        String path;

        @Parameter(names = "--host", description = "Host header of the request", required = true)
        String host;

        @Parameter(names = "--account", description = "Name of the client account; without it, no key is assumed")
        private String account;

        @Parameter(names = "--prompt", description = "Parts of the prompt as ID:TOKENS,...")
        private String prompt;

        @Parameter(names = "--tokens", description = "Numbers of prompt tokens and of generated tokens as IN,OUT")
        private String tokens;

        @Parameter(names = "--model", description = "Name of the model; no decision depends on it yet")
        private String model;

        @Parameter(
                names = "--length-hint",
                description = "Expected number of generated tokens; no decision depends on it yet")
        private String lengthHint;

        /** Returns the parameters of the query by name, without those that are not given. */
        Map<String, String> parameters() {
            Map<String, String> given = new LinkedHashMap<>();
            given.put("method", method);
            given.put("path", path);
            given.put("host", host);
            given.put("account", account);
            given.put("prompt", prompt);
            given.put("tokens", tokens);
            given.put("model", model);
            given.put("length-hint", lengthHint);
            given.values().removeIf(Objects::isNull);
            return given;
        }
    }

    /** Values of the output option. */
    enum OutputFormat {
        TABLE,
        JSON
    }
}
