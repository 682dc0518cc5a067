package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * A sub-command of the binary. Implementations are stateless and thread-safe; each run is independent.
 */
public interface Command {
    /** Exit code of a run that did what it was asked to. */
    int EXIT_OK = 0;

    /** Exit code of a run that failed. */
    int EXIT_FAILED = 1;

    /** Exit code of a run whose arguments or settings are wrong. */
    int EXIT_USAGE = 2;

    /** Returns the word that selects this command. */
    String name();

    /** Returns one line for the list of commands. */
    String summary();

    /** Returns the least level that is logged unless the command's own settings say otherwise. */
    default String logLevel() {
        return "off";
    }

    /** Runs the command with the arguments behind its name and returns the exit code. */
    int run(List<String> arguments, PrintStream out, PrintStream err);
}
