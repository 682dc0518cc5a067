package org.poplarwharf.internal.config;

import java.util.regex.Pattern;

/** The names that the configuration may use. Stateless and thread-safe. */
final class ConfigNames {
    static final String RULE = "is not a name; use up to 100 letters, digits, dots, dashes and underscores";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern FILE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}\\.ya?ml");

    private ConfigNames() {}

    static boolean valid(String name) {
        return NAME.matcher(name).matches();
    }

    /** Tells whether a file's name makes it part of the configuration. */
    static boolean validFile(String name) {
        return FILE.matcher(name).matches();
    }
}
