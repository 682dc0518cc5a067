package org.poplarwharf.internal.config;

/**
 * A validation error in the configuration. Immutable and thread-safe.
 *
 * @param file the file with the error
 * @param key the path of the key in the file; empty if the error concerns the file as a whole
 * @param reason what is wrong and what is expected
 */
public record ConfigError(String file, String key, String reason) {
    /** Returns the file, key and reason as one line. */
    public String format() {
        return key.isEmpty() ? file + ": " + reason : file + ": " + key + ": " + reason;
    }
}
