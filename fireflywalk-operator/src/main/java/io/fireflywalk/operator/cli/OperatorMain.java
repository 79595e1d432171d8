package io.fireflywalk.operator.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.platform.codec.Codec;
import io.fireflywalk.platform.configuration.ConfigurationFile;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;

/** Command line of the operators' client. */
public final class OperatorMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final int SECRET_BYTES = 24;

    private OperatorMain() {}

    /** Options that all commands share. */
    static class ServerOptions {
        @Parameter(names = "--server", description = "Operators' address of an instance")
        URI server = URI.create("http://127.0.0.1:8081");

        @Parameter(names = "--operator-key", description = "Operator key; default is FIREFLYWALK_OPERATOR_KEY")
        String operatorKey = System.getenv().getOrDefault("FIREFLYWALK_OPERATOR_KEY", "");
    }

    /** Options of commands that change the configuration. */
    static class ChangeOptions extends ServerOptions {
        @Parameter(names = "--author", description = "Operator who makes the change")
        String author = System.getProperty("user.name");

        @Parameter(names = "--reason", description = "Why the change is made", required = true)
        String reason;
    }

    /** Options of the apply command. */
    static final class ApplyOptions extends ChangeOptions {
        @Parameter(names = "--file", description = "YAML configuration file", required = true)
        Path file;
    }

    /** Options of the key-create command. */
    static final class KeyCreateOptions extends ChangeOptions {
        @Parameter(names = "--account", description = "Client account of the key", required = true)
        String account;

        @Parameter(names = "--name", description = "Name of the key", required = true)
        String name;
    }

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) {
        ServerOptions get = new ServerOptions();
        ServerOptions usage = new ServerOptions();
        ApplyOptions apply = new ApplyOptions();
        KeyCreateOptions keyCreate = new KeyCreateOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("fireflywalk")
                .addCommand("get", get)
                .addCommand("usage", usage)
                .addCommand("apply", apply)
                .addCommand("key-create", keyCreate)
                .build();
        try {
            commander.parse(arguments);
            if (commander.getParsedCommand() == null) {
                commander.usage();
                System.exit(EXIT_USAGE);
                return;
            }
            switch (commander.getParsedCommand()) {
                case "get" -> get(get);
                case "usage" -> usage(usage);
                case "apply" -> apply(apply);
                default -> createKey(keyCreate);
            }
        } catch (ParameterException exception) {
            System.err.println("fireflywalk: " + exception.getMessage());
            System.exit(EXIT_USAGE);
        } catch (FireflywalkException exception) {
            System.err.println("fireflywalk: " + exception.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void get(ServerOptions options) throws FireflywalkException {
        try (OperatorClient client = new OperatorClient(options.server, options.operatorKey)) {
            System.out.print(Codec.yaml().write(client.configuration()));
        }
    }

    private static void usage(ServerOptions options) throws FireflywalkException {
        try (OperatorClient client = new OperatorClient(options.server, options.operatorKey)) {
            System.out.println(Codec.json().write(client.usage()));
        }
    }

    private static void apply(ApplyOptions options) throws FireflywalkException {
        ConfigurationFile file = Codec.yaml().read(readText(options.file), ConfigurationFile.class, "" + options.file);
        try (OperatorClient client = new OperatorClient(options.server, options.operatorKey)) {
            OperatorMessages.ConfigurationAnswer current = client.configuration();
            List<DocumentChange> changes = file.changesFrom(snapshotOf(current));
            long version = client.change(current.version(), options.author, options.reason, changes);
            System.out.println("version " + version + " accepted, " + changes.size() + " documents changed");
        }
    }

    private static void createKey(KeyCreateOptions options) throws FireflywalkException {
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        String secret = HexFormat.of().formatHex(random);
        ApiKey key = new ApiKey(options.name, options.account, SecretDigest.of(secret), false);
        try (OperatorClient client = new OperatorClient(options.server, options.operatorKey)) {
            long base = client.configuration().version();
            client.change(base, options.author, options.reason, List.of(DocumentChange.put(key)));
            System.out.println(options.name + "." + secret);
        }
    }

    private static ConfigurationSnapshot snapshotOf(OperatorMessages.ConfigurationAnswer answer) {
        List<DocumentChange> changes = answer.configuration().changesFrom(ConfigurationSnapshot.empty());
        return ConfigurationSnapshot.empty().apply(answer.version(), changes);
    }

    private static String readText(Path file) throws FireflywalkException {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, "cannot read the file", file.toString(), exception);
        }
    }
}
