package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;

/** Parses non-negative integers from untrusted input. Stateless and thread-safe. */
public final class DecimalParser {
    /** Any number with this many digits fits into a long. */
    private static final int MAX_DIGIT_COUNT = 15;

    private DecimalParser() {}

    /**
     * Returns the number, or empty if the text has a character that is not a digit, has too many digits or is empty.
     */
    public static OptionalLong parse(String text) {
        boolean valid = !text.isEmpty()
                && text.length() <= MAX_DIGIT_COUNT
                && text.chars().allMatch(character -> character >= '0' && character <= '9');
        return valid ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
