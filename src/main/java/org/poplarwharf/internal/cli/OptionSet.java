package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The options of one command. Parses them and reports errors, so that all commands handle {@code --help}, unknown
 * flags, missing values, invalid values and failures in the same way.
 *
 * <p>Immutable and thread-safe.
 *
 * <pre>{@code
 * private static final OptionSet OPTIONS = new OptionSet(
 *         "config show", "DIR", List.of(OptionSpec.of("log", "HOST:PORT", "the platform's log")));
 *
 * public int run(List<String> arguments, PrintStream out, PrintStream err) {
 *     return OPTIONS.run(arguments, out, err, values -> show(values.address("log"), out));
 * }
 * }</pre>
 */
public final class OptionSet {
    private static final String HELP = "help";

    private final String command;
    private final String operands;
    private final List<OptionSpec> specs;
    private final Map<String, String> environment;

    /**
     * Creates the options of a command, which can also be set by this process's environment variables.
     *
     * @param command name of the command, with its subcommand if it has one
     * @param operands positional arguments as shown in the usage line; empty if the command takes none
     */
    public OptionSet(String command, String operands, List<OptionSpec> specs) {
        this(command, operands, specs, System.getenv());
    }

    private OptionSet(String command, String operands, List<OptionSpec> specs, Map<String, String> environment) {
        this.command = command;
        this.operands = operands;
        this.specs = List.copyOf(specs);
        this.environment = environment;
    }

    /** Returns a copy that reads the given variables instead of this process's environment. */
    public OptionSet withEnvironment(Map<String, String> variables) {
        return new OptionSet(command, operands, specs, Map.copyOf(variables));
    }

    /** The action of a command, which receives the parsed options. */
    @FunctionalInterface
    public interface Action {
        /** Runs the command and returns the exit code. */
        int run(OptionValues values);
    }

    /** Parses the arguments and runs the action; prints a failure of either with one line per error. */
    public int run(List<String> arguments, PrintStream out, PrintStream err, Action action) {
        if (arguments.contains("--" + HELP)) {
            printHelp(out);
            return Command.EXIT_OK;
        }
        try {
            return action.run(parse(arguments));
        } catch (PoplarWharfException failure) {
            return printFailure(failure, err);
        }
    }

    /** Parses the arguments, the environment and the defaults; fails with {@code settings-invalid} on a usage error. */
    public OptionValues parse(List<String> arguments) {
        try {
            CommandLine line = new DefaultParser(false).parse(toCommonsCliOptions(), arguments.toArray(String[]::new));
            if (operands.isEmpty() && !line.getArgList().isEmpty()) {
                throw usageError("unexpected argument '" + line.getArgList().get(0) + "'");
            }
            return new OptionValues(resolveValues(line), line.getArgList(), usedVariables(line));
        } catch (UnrecognizedOptionException e) {
            throw usageError("unknown option '" + e.getOption() + "'");
        } catch (MissingArgumentException e) {
            throw usageError("--" + e.getOption().getLongOpt() + " needs a value");
        } catch (ParseException e) {
            throw usageError(e.getMessage());
        }
    }

    private PoplarWharfException usageError(String error) {
        return Reporter.settingsInvalid(List.of(error + "; see poplarwharf " + command + " --help."));
    }

    private int printFailure(PoplarWharfException failure, PrintStream err) {
        boolean isUsageError = failure.code() == FailureCode.SETTINGS_INVALID;
        String prefix = "poplarwharf " + command + ": "
                + (isUsageError ? "" : failure.code().text() + ": ");
        for (String line : failure.getMessage().split("\n")) {
            err.println(prefix + line);
        }
        return isUsageError ? Command.EXIT_USAGE : Command.EXIT_FAILED;
    }

    private Options toCommonsCliOptions() {
        Options options = new Options();
        for (OptionSpec spec : specs) {
            options.addOption(Option.builder()
                    .longOpt(spec.flag())
                    .hasArg(spec.takesValue())
                    .build());
        }
        return options;
    }

    private Map<String, String> resolveValues(CommandLine line) {
        Map<String, String> values = new HashMap<>();
        for (OptionSpec spec : specs) {
            String variable = environment.get(spec.environmentVariable());
            if (line.hasOption(spec.flag())) {
                values.put(spec.flag(), spec.takesValue() ? line.getOptionValue(spec.flag()) : "true");
            } else if (variable != null) {
                values.put(spec.flag(), variable);
            } else {
                spec.defaultValue().ifPresent(value -> values.put(spec.flag(), value));
            }
        }
        return values;
    }

    /** Returns the environment variable of each flag whose value was read from the environment. */
    private Map<String, String> usedVariables(CommandLine line) {
        return specs.stream()
                .filter(spec -> !line.hasOption(spec.flag()) && environment.containsKey(spec.environmentVariable()))
                .collect(Collectors.toMap(OptionSpec::flag, OptionSpec::environmentVariable));
    }

    private void printHelp(PrintStream out) {
        out.println("Usage: poplarwharf " + command + " [OPTIONS]" + (operands.isEmpty() ? "" : " " + operands));
        out.println();
        for (OptionSpec spec : specs) {
            out.printf("  --%-28s %s%n", (spec.flag() + " " + spec.valueName()).strip(), spec.help());
            out.printf("  %-30s %s%n", "", describeDefaults(spec));
        }
        out.println();
        out.println("Write durations as 500ms, 3s or 2m, addresses as host:port, and lists separated by commas.");
    }

    private static String describeDefaults(OptionSpec spec) {
        List<String> notes = new ArrayList<>();
        notes.add("environment variable " + spec.environmentVariable());
        spec.defaultValue().ifPresent(value -> notes.add("default " + (value.isEmpty() ? "none" : value)));
        return String.join(", ", notes);
    }
}
