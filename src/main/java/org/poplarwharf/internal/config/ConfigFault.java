package org.poplarwharf.internal.config;

/**
 * Something wrong with the configuration. Immutable and thread-safe.
 *
 * @param file the file at fault
 * @param key where in the file, empty for the file as a whole
 * @param reason what is wrong and what would be right
 */
public record ConfigFault(String file, String key, String reason) {
    /** Returns one line: file, key and reason. */
    public String line() {
        return key.isEmpty() ? file + ": " + reason : file + ": " + key + ": " + reason;
    }
}
