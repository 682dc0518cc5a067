package org.poplarwharf.internal.cli;

import java.util.Locale;
import java.util.Optional;

/**
 * One option of a command: its flag, its value and its environment variable. Immutable and thread-safe.
 *
 * @param flag the long flag without dashes
 * @param valueName what the value is, empty for a switch that takes none
 * @param defaultValue the value where neither flag nor variable is given; empty when there is none
 * @param help one line for the list of options
 */
public record OptionSpec(String flag, String valueName, Optional<String> defaultValue, String help) {
    private static final String VARIABLE_PREFIX = "POPLARWHARF_";

    /** Returns an option with a default. */
    public static OptionSpec of(String flag, String valueName, String defaultValue, String help) {
        return new OptionSpec(flag, valueName, Optional.of(defaultValue), help);
    }

    /** Returns an option without a default. */
    public static OptionSpec of(String flag, String valueName, String help) {
        return new OptionSpec(flag, valueName, Optional.empty(), help);
    }

    /** Returns an option that takes no value. */
    public static OptionSpec toggle(String flag, String help) {
        return new OptionSpec(flag, "", Optional.empty(), help);
    }

    /** Tells whether the option is followed by a value. */
    public boolean takesValue() {
        return !valueName.isEmpty();
    }

    /** Returns the environment variable that stands in for the flag. */
    public String variable() {
        return VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
