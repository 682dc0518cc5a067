package org.poplarwharf.internal.response;

/** The line before a chunk: its size and extensions (RFC 9112, section 7.1). Stateless and thread-safe. */
final class ChunkLine {
    private static final int HEX = 16;

    private ChunkLine() {}

    /** Returns the size of the chunk in bytes. */
    static long parseSize(LineBuffer line) throws BrokenResponseException {
        long sizeBytes = 0;
        int index = 0;
        while (index < line.length() && hexValue(line.at(index)) >= 0) {
            if (sizeBytes > Long.MAX_VALUE / HEX) {
                throw new BrokenResponseException("size of a chunk that is too large");
            }
            sizeBytes = HEX * sizeBytes + hexValue(line.at(index));
            index++;
        }
        if (index == 0) {
            throw new BrokenResponseException("chunk without a size");
        }
        while (index < line.length()) {
            index = endOfExtension(line, index);
            if (index < 0) {
                throw new BrokenResponseException("malformed extension of a chunk");
            }
        }
        return sizeBytes;
    }

    private static int hexValue(int value) {
        return value < 128 ? Character.digit(value, HEX) : -1;
    }

    /** Returns the index after the extension that begins at the start, or -1 if there is none. */
    private static int endOfExtension(LineBuffer line, int start) {
        int separator = Grammar.endOfBlanks(line, start);
        if (separator == line.length() || line.at(separator) != ';') {
            return -1;
        }
        int nameStart = Grammar.endOfBlanks(line, separator + 1);
        int nameEnd = Grammar.endOfToken(line, nameStart);
        if (nameEnd == nameStart) {
            return -1;
        }
        int equals = Grammar.endOfBlanks(line, nameEnd);
        if (equals == line.length() || line.at(equals) != '=') {
            return nameEnd;
        }
        int valueStart = Grammar.endOfBlanks(line, equals + 1);
        int tokenEnd = Grammar.endOfToken(line, valueStart);
        return tokenEnd > valueStart ? tokenEnd : Grammar.endOfQuotedString(line, valueStart);
    }
}
