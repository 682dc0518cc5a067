package org.poplarwharf.internal.cli;

import java.util.Locale;
import java.util.Optional;

/**
 * An option of a command, set by a flag or an environment variable. Immutable and thread-safe.
 *
 * @param flag long flag, without the leading dashes
 * @param valueName placeholder of the value in the help text, empty for a switch without a value
 * @param defaultValue value if neither the flag nor the variable is set, if any
 * @param help one-line description for the help text
 */
public record OptionSpec(String flag, String valueName, Optional<String> defaultValue, String help) {
    private static final String VARIABLE_PREFIX = "POPLARWHARF_";

    /** Returns an option that has a default value. */
    public static OptionSpec of(String flag, String valueName, String defaultValue, String help) {
        return new OptionSpec(flag, valueName, Optional.of(defaultValue), help);
    }

    /** Returns an option that has no default value. */
    public static OptionSpec of(String flag, String valueName, String help) {
        return new OptionSpec(flag, valueName, Optional.empty(), help);
    }

    /** Returns a switch: an option without a value. */
    public static OptionSpec toggle(String flag, String help) {
        return new OptionSpec(flag, "", Optional.empty(), help);
    }

    /** Returns whether the option takes a value. */
    public boolean takesValue() {
        return !valueName.isEmpty();
    }

    /** Returns the name of the environment variable that is read if the flag is not given. */
    public String environmentVariable() {
        return VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
