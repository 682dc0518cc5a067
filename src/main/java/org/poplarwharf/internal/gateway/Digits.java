package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;

/** Reads whole numbers that other parties write. Stateless and thread-safe. */
public final class Digits {
    /** Any number of so many digits fits a long. */
    private static final int MAX_DIGITS = 15;

    private Digits() {}

    /** Returns the number; empty where the text is anything but digits, or too many. */
    public static OptionalLong parse(String text) {
        boolean number =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(Character::isDigit);
        return number ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
