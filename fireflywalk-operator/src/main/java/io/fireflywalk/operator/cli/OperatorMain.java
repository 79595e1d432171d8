package io.fireflywalk.operator.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.core.error.FireflywalkException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Command line of the operators' client. */
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

            Exit statuses: 0 success, 1 failure, 2 wrong usage, 3 invalid configuration, 4 conflict with another
            operator's change, 5 operator key refused, 6 diff found differences.
            """;

    private OperatorMain() {}

    /** Runs the command that the arguments name and exits with its status. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /** Runs the command that the arguments name and returns its exit status. */
    static int run(String[] arguments, PrintStream output, PrintStream errors) {
        Commands commands = new Commands(output);
        Map<String, Command<?>> table = commandTable(commands);
        JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM);
        table.forEach((name, command) -> builder.addCommand(name, command.options()));
        JCommander parser = builder.build();
        try {
            String[] joined = joinSubcommand(arguments);
            if (joined.length == 0 || joined[0].equals("--help") || joined[0].equals("help")) {
                output.println(usageText(parser));
                return joined.length == 0 ? ExitStatus.USAGE.code() : ExitStatus.SUCCESS.code();
            }
            parser.parse(joined);
            return table.get(parser.getParsedCommand()).run(parser, output).code();
        } catch (ParameterException exception) {
            errors.println(PROGRAM + ": " + oneLine(exception.getMessage()));
            return ExitStatus.USAGE.code();
        } catch (FireflywalkException exception) {
            errors.println(PROGRAM + ": " + oneLine(exception.getMessage()));
            return ExitStatus.of(exception.kind()).code();
        }
    }

    private static Map<String, Command<?>> commandTable(Commands commands) {
        Map<String, Command<?>> table = new LinkedHashMap<>();
        table.put("validate", new Command<>(new CommandOptions.Validate(), commands::validate));
        table.put("diff", new Command<>(new CommandOptions.Diff(), commands::diff));
        table.put("apply", new Command<>(new CommandOptions.Apply(), commands::apply));
        table.put("get", new Command<>(new CommandOptions.Get(), commands::get));
        table.put("key create", new Command<>(new CommandOptions.KeyCreate(), commands::createKey));
        table.put("key withdraw", new Command<>(new CommandOptions.KeyWithdraw(), commands::withdrawKey));
        table.put("status", new Command<>(new CommandOptions.Status(), commands::status));
        table.put("drain", new Command<>(new CommandOptions.Drain(), commands::drain));
        table.put("usage", new Command<>(new CommandOptions.Usage(), commands::usage));
        return table;
    }

    /** Joins {@code key create} into one command name, because the parser has one level of commands. */
    private static String[] joinSubcommand(String[] arguments) {
        if (arguments.length < 2 || !arguments[0].equals("key")) {
            return arguments;
        }
        String[] joined = Arrays.copyOfRange(arguments, 1, arguments.length);
        joined[0] = "key " + arguments[1];
        return joined;
    }

    private static String usageText(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.append('\n').append(EXAMPLES).toString();
    }

    /** Replaces control characters, so that text from a server cannot drive the terminal. */
    private static String oneLine(String message) {
        return message.replaceAll("\\p{Cntrl}+", " ");
    }

    /** A command with its options. */
    private record Command<T extends CommandOptions.Common>(T options, Action<T> action) {

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

    /** What a command does. */
    @FunctionalInterface
    private interface Action<T> {
        ExitStatus run(T options) throws FireflywalkException;
    }
}
