package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.poplarwharf.internal.kernel.NodeLog;

/**
 * Entry point of the binary. Subcommands are {@link Command} services, found with {@link ServiceLoader}.
 *
 * <p>Stateless and thread-safe.
 */
public final class Main {
    private static final List<String> HELP_ARGUMENTS = List.of("--help", "-h", "help");

    private Main() {}

    public static void main(String[] args) {
        List<String> arguments = Arrays.asList(args);
        arguments.stream()
                .findFirst()
                .flatMap(Main::find)
                .map(Command::logLevel)
                .ifPresent(NodeLog::setLevel);
        System.exit(run(arguments, System.out, System.err));
    }

    /** Runs the subcommand named by the first argument and returns its exit code. */
    static int run(List<String> arguments, PrintStream out, PrintStream err) {
        if (arguments.isEmpty()) {
            printUsage(err);
            return Command.EXIT_USAGE;
        }
        String commandName = arguments.get(0);
        if (HELP_ARGUMENTS.contains(commandName)) {
            printUsage(out);
            return Command.EXIT_OK;
        }
        Optional<Command> command = find(commandName);
        if (command.isEmpty()) {
            err.println("poplarwharf: unknown command '" + commandName + "'; see poplarwharf --help.");
            return Command.EXIT_USAGE;
        }
        return command.get().run(arguments.subList(1, arguments.size()), out, err);
    }

    private static Optional<Command> find(String commandName) {
        for (Command command : ServiceLoader.load(Command.class)) {
            if (command.name().equals(commandName)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private static void printUsage(PrintStream stream) {
        TreeMap<String, String> summaries = new TreeMap<>();
        for (Command command : ServiceLoader.load(Command.class)) {
            summaries.put(command.name(), command.summary());
        }
        stream.println("Usage: poplarwharf COMMAND [OPTIONS]");
        stream.println();
        summaries.forEach((name, summary) -> stream.printf("  %-12s %s%n", name, summary));
        stream.println();
        stream.println("See poplarwharf COMMAND --help for the options of a command.");
    }
}
