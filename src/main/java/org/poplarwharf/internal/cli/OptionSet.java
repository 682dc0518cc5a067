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
 * The options of one command, so that every command treats {@code --help}, unknown flags, missing values, bad values
 * and failures alike.
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
     * Creates the options of a command that reads this process's environment variables.
     *
     * @param command the words that select the command
     * @param operands the arguments behind the options, for the usage line; empty when it takes none
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

    /** Returns the same options with these environment variables. */
    public OptionSet withEnvironment(Map<String, String> variables) {
        return new OptionSet(command, operands, specs, Map.copyOf(variables));
    }

    /** What a command does with its parsed options. */
    @FunctionalInterface
    public interface Body {
        /** Runs the command and returns the exit code. */
        int run(OptionValues values);
    }

    /** Parses the arguments, runs the body, and reports a failure of either as one line for each fault. */
    public int run(List<String> arguments, PrintStream out, PrintStream err, Body body) {
        if (arguments.contains("--" + HELP)) {
            printHelp(out);
            return Command.EXIT_OK;
        }
        try {
            return body.run(parse(arguments));
        } catch (PoplarWharfException failure) {
            return report(failure, err);
        }
    }

    /** Returns the options that the arguments and the environment give; fails with {@code settings-invalid}. */
    public OptionValues parse(List<String> arguments) {
        try {
            CommandLine line = new DefaultParser(false).parse(commonsOptions(), arguments.toArray(String[]::new));
            if (operands.isEmpty() && !line.getArgList().isEmpty()) {
                throw fault("unexpected argument '" + line.getArgList().get(0) + "'");
            }
            return new OptionValues(values(line), line.getArgList(), variablesUsed(line));
        } catch (UnrecognizedOptionException e) {
            throw fault("unknown option '" + e.getOption() + "'");
        } catch (MissingArgumentException e) {
            throw fault("--" + e.getOption().getLongOpt() + " needs a value");
        } catch (ParseException e) {
            throw fault(e.getMessage());
        }
    }

    private PoplarWharfException fault(String fault) {
        return Reporter.settingsInvalid(List.of(fault + "; see poplarwharf " + command + " --help."));
    }

    private int report(PoplarWharfException failure, PrintStream err) {
        boolean usage = failure.code() == FailureCode.SETTINGS_INVALID;
        String prefix =
                "poplarwharf " + command + ": " + (usage ? "" : failure.code().text() + ": ");
        for (String line : failure.getMessage().split("\n")) {
            err.println(prefix + line);
        }
        return usage ? Command.EXIT_USAGE : Command.EXIT_FAILED;
    }

    private Options commonsOptions() {
        Options options = new Options();
        for (OptionSpec spec : specs) {
            options.addOption(Option.builder()
                    .longOpt(spec.flag())
                    .hasArg(spec.takesValue())
                    .build());
        }
        return options;
    }

    private Map<String, String> values(CommandLine line) {
        Map<String, String> values = new HashMap<>();
        for (OptionSpec spec : specs) {
            String variable = environment.get(spec.variable());
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

    /** Returns the variable behind each flag whose value came from the environment. */
    private Map<String, String> variablesUsed(CommandLine line) {
        return specs.stream()
                .filter(spec -> !line.hasOption(spec.flag()) && environment.containsKey(spec.variable()))
                .collect(Collectors.toMap(OptionSpec::flag, OptionSpec::variable));
    }

    private void printHelp(PrintStream out) {
        out.println("Usage: poplarwharf " + command + " [OPTIONS]" + (operands.isEmpty() ? "" : " " + operands));
        out.println();
        for (OptionSpec spec : specs) {
            out.printf("  --%-28s %s%n", (spec.flag() + " " + spec.valueName()).strip(), spec.help());
            out.printf("  %-30s %s%n", "", notes(spec));
        }
        out.println();
        out.println("Durations are written 500ms, 3s or 2m; addresses host:port; lists with commas.");
    }

    private static String notes(OptionSpec spec) {
        List<String> notes = new ArrayList<>();
        notes.add("variable " + spec.variable());
        spec.defaultValue().ifPresent(value -> notes.add("default " + (value.isEmpty() ? "none" : value)));
        return String.join(", ", notes);
    }
}
