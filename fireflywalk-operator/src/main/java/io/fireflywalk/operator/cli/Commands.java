package io.fireflywalk.operator.cli;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ConfigurationProblem;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.ConfigurationValidator;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.DecisionExplanation;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.operator.message.StatusTable;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.ConfigurationFile;
import io.fireflywalk.services.configuration.DocumentCodec;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** Commands of the operator client. Each prints its result and returns an exit status. Not thread-safe. */
final class Commands {
    private static final int SECRET_BYTES = 24;

    private final PrintStream output;

    Commands(PrintStream output) {
        this.output = output;
    }

    ExitStatus validate(CommandOptions.Validate options) throws FireflywalkException {
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty()
                .apply(1, readFile(options.file).changesFrom(ConfigurationSnapshot.empty()));
        List<ConfigurationProblem> problems = new ConfigurationValidator().validate(snapshot);
        if (!problems.isEmpty()) {
            String list = problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("; "));
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, list, options.file.toString());
        }
        output.println("valid: " + snapshot.documents().size() + " documents");
        return ExitStatus.SUCCESS;
    }

    ExitStatus diff(CommandOptions.Diff options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            ConfigurationSnapshot current = snapshotOf(client.configuration());
            List<DocumentChange> changes = readFile(options.file).changesFrom(current);
            if (options.output == CommandOptions.OutputFormat.JSON) {
                output.println(Codec.json().write(DocumentCodec.toMessages(changes)));
            } else {
                output.print(OutputTable.render(
                        List.of("ACTION", "KIND", "NAME"),
                        changes.stream()
                                .map(change -> diffCells(current, change))
                                .toList()));
            }
            return changes.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.DIFFERENT;
        }
    }

    ExitStatus apply(CommandOptions.Apply options) throws FireflywalkException {
        ConfigurationFile file = readFile(options.file);
        try (OperatorClient client = OperatorClient.of(options)) {
            ConfigurationSnapshot current = snapshotOf(client.configuration());
            List<DocumentChange> changes = file.changesFrom(current);
            if (changes.isEmpty()) {
                output.println("version " + current.version() + " is unchanged");
                return ExitStatus.SUCCESS;
            }
            long base = options.baseVersion().orElse(current.version());
            long version = client.submitChange(base, options.reason, changes);
            output.println("version " + version + " accepted, " + changes.size() + " documents changed");
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus get(CommandOptions.Get options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            OperatorMessages.ConfigurationResponse response = client.configuration();
            if (options.output == CommandOptions.OutputFormat.JSON) {
                output.println(Codec.json().write(response));
            } else {
                output.println("# version " + response.version());
                output.print(Codec.yaml().write(response.configuration()));
            }
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus status(CommandOptions.Status options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            OperatorMessages.StatusResponse response = client.status();
            if (options.output == CommandOptions.OutputFormat.JSON) {
                output.println(Codec.json().write(response));
                return ExitStatus.SUCCESS;
            }
            for (StatusTable table : response.tables()) {
                output.println(table.title());
                output.println(OutputTable.render(table.columns(), table.rows()));
            }
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus usage(CommandOptions.Usage options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            List<UsageRow> rows = client.usage();
            if (options.output == CommandOptions.OutputFormat.JSON) {
                output.println(Codec.json().write(rows));
            } else {
                output.print(OutputTable.render(
                        List.of("WINDOW", "CLIENT ACCOUNT", "SERVICE", "ANSWERS", "PROMPT TOKENS", "GENERATED TOKENS"),
                        rows.stream().map(Commands::usageCells).toList()));
            }
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus createKey(CommandOptions.KeyCreate options) throws FireflywalkException {
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        String secret = HexFormat.of().formatHex(random);
        ApiKey key = new ApiKey(options.name, options.account, SecretDigest.of(secret), false);
        try (OperatorClient client = OperatorClient.of(options)) {
            ConfigurationSnapshot current = snapshotOf(client.configuration());
            if (current.apiKey(options.name).isPresent()) {
                throw new FireflywalkException(
                        ErrorKind.INVALID_REQUEST, "an API key with this name already exists", "key " + options.name);
            }
            long base = options.baseVersion().orElse(current.version());
            client.submitChange(base, options.reason, List.of(DocumentChange.put(key)));
            output.println(options.name + "." + secret);
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus revokeKey(CommandOptions.KeyRevoke options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            ConfigurationSnapshot current = snapshotOf(client.configuration());
            ApiKey key = current.apiKey(options.name)
                    .orElseThrow(() -> new FireflywalkException(
                            ErrorKind.INVALID_REQUEST, "no API key has this name", "key " + options.name));
            long base = options.baseVersion().orElse(current.version());
            long version = client.submitChange(base, options.reason, List.of(DocumentChange.put(key.asRevoked())));
            output.println("key " + options.name + " is revoked on all instances as of version " + version);
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus drain(CommandOptions.Drain options) throws FireflywalkException {
        try (OperatorClient client = OperatorClient.of(options)) {
            if (options.targets.isEmpty()) {
                output.println("draining, requests in flight: "
                        + client.drainInstance().requestsInFlight());
                return ExitStatus.SUCCESS;
            }
            ConfigurationSnapshot current = snapshotOf(client.configuration());
            List<DocumentChange> changes = new ArrayList<>();
            for (String name : options.targets) {
                Target target = current.target(name)
                        .orElseThrow(() -> new FireflywalkException(
                                ErrorKind.INVALID_REQUEST, "no target has this name", "target " + name));
                changes.add(DocumentChange.put(target.asLeaving()));
            }
            long version = client.submitChange(current.version(), options.reason, changes);
            output.println("version " + version + " accepted, " + changes.size() + " targets are leaving");
            return ExitStatus.SUCCESS;
        }
    }

    ExitStatus explain(CommandOptions.Explain options) throws FireflywalkException {
        DecisionExplanation explanation = explanation(options);
        if (options.output == CommandOptions.OutputFormat.JSON) {
            output.println(Codec.json().write(explanation));
        } else {
            output.print(ExplanationText.render(explanation));
        }
        return explanation.decision().equals(DecisionExplanation.REFUSE) ? ExitStatus.FAILURE : ExitStatus.SUCCESS;
    }

    /** Returns the explanation; all failures count as wrong usage, because status 1 means that a request is refused. */
    private static DecisionExplanation explanation(CommandOptions.Explain options) throws FireflywalkException {
        if (!options.instance.matches("[^/?#@]+:[0-9]{1,5}")) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "--instance must have the form HOST:PORT", options.instance);
        }
        try (OperatorClient client =
                new OperatorClient(URI.create("http://" + options.instance), "", Optional.empty())) {
            return client.decision(options.parameters());
        } catch (IllegalArgumentException exception) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "--instance must have the form HOST:PORT", options.instance, exception);
        } catch (FireflywalkException exception) {
            throw new FireflywalkException(ErrorKind.INVALID_REQUEST, exception.detail(), options.instance, exception);
        }
    }

    private static List<String> diffCells(ConfigurationSnapshot current, DocumentChange change) {
        boolean exists = current.documents().stream()
                .anyMatch(document ->
                        document.kind() == change.kind() && document.name().equals(change.name()));
        String action = change.document().isEmpty() ? "remove" : exists ? "replace" : "create";
        return List.of(action, change.kind().name().toLowerCase(Locale.ROOT), change.name());
    }

    private static List<String> usageCells(UsageRow row) {
        return List.of(
                Long.toString(row.key().window()),
                row.key().clientAccount(),
                row.key().service(),
                Long.toString(row.amount().answers()),
                Long.toString(row.amount().promptTokens()),
                Long.toString(row.amount().generatedTokens()));
    }

    private static ConfigurationSnapshot snapshotOf(OperatorMessages.ConfigurationResponse response) {
        List<DocumentChange> changes = response.configuration().changesFrom(ConfigurationSnapshot.empty());
        return ConfigurationSnapshot.empty().apply(response.version(), changes);
    }

    private static ConfigurationFile readFile(Path file) throws FireflywalkException {
        try {
            return Codec.yaml().read(Files.readString(file), ConfigurationFile.class, file.toString());
        } catch (IOException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, "cannot read configuration file", file.toString(), exception);
        }
    }
}
