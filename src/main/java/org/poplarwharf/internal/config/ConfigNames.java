package org.poplarwharf.internal.config;

import java.util.regex.Pattern;

/** Validates the names of items and files in the configuration. Stateless and thread-safe. */
final class ConfigNames {
    static final String INVALID_NAME_REASON =
            "is not a name; use up to 100 letters, digits, dots, dashes and underscores";

    private static final Pattern ITEM_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}\\.ya?ml");

    private ConfigNames() {}

    static boolean isValid(String name) {
        return ITEM_NAME.matcher(name).matches();
    }

    /** Returns whether a file with this name is part of the configuration. */
    static boolean isValidFileName(String name) {
        return FILE_NAME.matcher(name).matches();
    }
}
