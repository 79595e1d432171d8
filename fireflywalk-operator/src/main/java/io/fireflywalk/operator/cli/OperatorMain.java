package io.fireflywalk.operator.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.core.error.FireflywalkException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Entry point of the command-line client for operators. */
public final class OperatorMain {
    private static final String PROGRAM = "fireflywalk";
    private static final String EXAMPLES = """
            Examples:
              fireflywalk validate --file fleet.yaml
              fireflywalk diff --server http://10.0.0.5:8081 --file fleet.yaml
              fireflywalk apply --file fleet.yaml --reason 'add the second runner'
              fireflywalk key create --account county --name morning --reason 'new clerk'
              fireflywalk key withdraw --name morning --reason 'key was published'
              fireflywalk status --output json
              fireflywalk drain draft-3 --reason 'replace the host'
              fireflywalk drain --server http://10.0.0.5:8081
              fireflywalk usage
              fireflywalk explain --instance 10.0.0.5:9464 --method POST --path /bills/1 --host bills.example

            Exit statuses: 0 success, 1 failure, 2 wrong usage, 3 invalid configuration, 4 conflict with another
            operator's change, 5 operator key rejected, 6 diff found differences. Of explain: 0 the request would be sent
            or would wait, 1 it would be refused, 2 wrong usage or no explanation from the instance.
            """;

    private OperatorMain() {}

    /** Runs a command and exits with its exit status. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /** Runs a command and returns its exit status. */
    static int run(String[] arguments, PrintStream output, PrintStream errors) {
        Commands commands = new Commands(output);
        Map<String, Command<?>> commandsByName = createCommands(commands);
        JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM);
        commandsByName.forEach((name, command) -> builder.addCommand(name, command.options()));
        JCommander parser = builder.build();
        try {
            String[] commandLine = joinSubcommand(arguments);
            if (commandLine.length == 0 || commandLine[0].equals("--help") || commandLine[0].equals("help")) {
                output.println(renderUsage(parser));
                return commandLine.length == 0 ? ExitStatus.USAGE.code() : ExitStatus.SUCCESS.code();
            }
            parser.parse(commandLine);
            return commandsByName
                    .get(parser.getParsedCommand())
                    .run(parser, output)
                    .code();
        } catch (ParameterException exception) {
            errors.println(PROGRAM + ": " + replaceControlCharacters(exception.getMessage()));
            return ExitStatus.USAGE.code();
        } catch (FireflywalkException exception) {
            errors.println(PROGRAM + ": " + replaceControlCharacters(exception.getMessage()));
            return ExitStatus.of(exception.kind()).code();
        }
    }

    private static Map<String, Command<?>> createCommands(Commands commands) {
        Map<String, Command<?>> commandsByName = new LinkedHashMap<>();
        commandsByName.put("validate", new Command<>(new CommandOptions.Validate(), commands::validate));
        commandsByName.put("diff", new Command<>(new CommandOptions.Diff(), commands::diff));
        commandsByName.put("apply", new Command<>(new CommandOptions.Apply(), commands::apply));
        commandsByName.put("get", new Command<>(new CommandOptions.Get(), commands::get));
        commandsByName.put("key create", new Command<>(new CommandOptions.KeyCreate(), commands::createKey));
        commandsByName.put("key withdraw", new Command<>(new CommandOptions.KeyRevoke(), commands::revokeKey));
        commandsByName.put("status", new Command<>(new CommandOptions.Status(), commands::status));
        commandsByName.put("drain", new Command<>(new CommandOptions.Drain(), commands::drain));
        commandsByName.put("usage", new Command<>(new CommandOptions.Usage(), commands::usage));
        commandsByName.put("explain", new Command<>(new CommandOptions.Explain(), commands::explain));
        return commandsByName;
    }

    /** Joins {@code key create} into one command name, because the parser supports no nested commands. */
    private static String[] joinSubcommand(String[] arguments) {
        if (arguments.length < 2 || !arguments[0].equals("key")) {
            return arguments;
        }
        String[] commandLine = Arrays.copyOfRange(arguments, 1, arguments.length);
        commandLine[0] = "key " + arguments[1];
        return commandLine;
    }

    private static String renderUsage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.append('\n').append(EXAMPLES).toString();
    }

    /** Replaces control characters, so that text from a server cannot inject terminal escape sequences. */
    private static String replaceControlCharacters(String message) {
        return message.replaceAll("\\p{Cntrl}+", " ");
    }

    /** A command with its options. */
    private record Command<T extends CommandOptions.Common>(T options, CommandAction<T> action) {

        ExitStatus run(JCommander parser, PrintStream output) throws FireflywalkException {
            if (options.help) {
                StringBuilder text = new StringBuilder();
                parser.getUsageFormatter().usage(parser.getParsedCommand(), text);
                output.println(text.append('\n').append(EXAMPLES));
                return ExitStatus.SUCCESS;
            }
            return action.run(options);
        }
    }

    /** Implementation of a command. */
    @FunctionalInterface
    private interface CommandAction<T> {
        ExitStatus run(T options) throws FireflywalkException;
    }
}
