package org.poplarwharf.internal.response;

/**
 * The elements of RFC 9110 and RFC 9112 of which the lines of a response are made. Bytes are unsigned numbers. Stateless and
 * thread-safe.
 */
final class Grammar {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;
    private static final int SPACE = ' ';
    private static final int TAB = '\t';

    private Grammar() {}

    /** Returns whether a byte may be in the name of a field (RFC 9110, section 5.6.2). */
    static boolean isTokenByte(int value) {
        return isDigit(value) || isLetter(value) || (value < DELETE && TOKEN_SYMBOLS.indexOf(value) >= 0);
    }

    /** Returns whether a byte may be in the value of a field or in a reason phrase; bytes above ASCII may. */
    static boolean isTextByte(int value) {
        return value == TAB || (value >= SPACE && value != DELETE);
    }

    static boolean isDigit(int value) {
        return value >= '0' && value <= '9';
    }

    private static boolean isLetter(int value) {
        return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z');
    }

    /** Returns whether a byte is white space within a line. */
    static boolean isBlank(int value) {
        return value == SPACE || value == TAB;
    }

    /** Returns whether all bytes of a part of a line are text. */
    static boolean isText(LineBuffer line, int start, int end) {
        for (int i = start; i < end; i++) {
            if (!isTextByte(line.at(i))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the index after the token that begins at the start; the start if there is none. */
    static int endOfToken(LineBuffer line, int start) {
        int index = start;
        while (index < line.length() && isTokenByte(line.at(index))) {
            index++;
        }
        return index;
    }

    /** Returns the index after the white space that begins at the start; the start if there is none. */
    static int endOfBlanks(LineBuffer line, int start) {
        int index = start;
        while (index < line.length() && isBlank(line.at(index))) {
            index++;
        }
        return index;
    }

    /** Returns the index after the quoted string that begins at the start, or -1 if there is none. */
    static int endOfQuotedString(LineBuffer line, int start) {
        if (start >= line.length() || line.at(start) != '"') {
            return -1;
        }
        int index = start + 1;
        while (index < line.length()) {
            int value = line.at(index);
            if (value == '"') {
                return index + 1;
            }
            int textIndex = value == '\\' ? index + 1 : index;
            if (textIndex == line.length() || !isTextByte(line.at(textIndex))) {
                return -1;
            }
            index = textIndex + 1;
        }
        return -1;
    }
}
