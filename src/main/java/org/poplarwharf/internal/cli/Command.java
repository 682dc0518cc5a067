package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * A subcommand of the binary. Implementations are stateless and thread-safe, and runs are independent of each other.
 */
public interface Command {
    /** Exit code of a successful run. */
    int EXIT_OK = 0;

    /** Exit code of a run that failed. */
    int EXIT_FAILED = 1;

    /** Exit code of a run with invalid arguments or settings. */
    int EXIT_USAGE = 2;

    /** Returns the name that selects this command on the command line. */
    String name();

    /** Returns the one-line description for the list of commands. */
    String summary();

    /** Returns the default log level; a command may override it from its options. */
    default String logLevel() {
        return "off";
    }

    /** Runs the command with the arguments that follow its name and returns the exit code. */
    int run(List<String> arguments, PrintStream out, PrintStream err);
}
