package org.poplarwharf.internal.response;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A line of a response's head, trailers or chunks, collected over several reads. Not thread-safe.
 *
 * <p>Invariant: holds one line at most, without the bytes that end it once it is complete.
 */
final class LineBuffer {
    private static final int INITIAL_BYTES = 128;
    private static final byte CR = '\r';
    private static final byte LF = '\n';

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    /**
     * Moves bytes here up to the end of the line, and returns whether the line is complete.
     *
     * @throws BrokenResponseException if the line ends without a carriage return
     */
    boolean readLine(ByteBuffer source) throws BrokenResponseException {
        while (source.hasRemaining()) {
            byte next = source.get();
            if (next != LF) {
                append(next);
                continue;
            }
            if (length == 0 || bytes[length - 1] != CR) {
                throw new BrokenResponseException("line without a carriage return");
            }
            length--;
            return true;
        }
        return false;
    }

    private void append(byte next) {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length] = next;
        length++;
    }

    void clear() {
        length = 0;
        if (bytes.length > INITIAL_BYTES) {
            bytes = new byte[INITIAL_BYTES];
        }
    }

    int length() {
        return length;
    }

    boolean isEmpty() {
        return length == 0;
    }

    /** Returns the byte at the index as an unsigned number. */
    int at(int index) {
        return bytes[index] & 0xff;
    }

    /** Returns the index of a byte at or after the start, or the length of the line without one. */
    int indexOf(int searched, int start) {
        int index = start;
        while (index < length && at(index) != searched) {
            index++;
        }
        return index;
    }

    /** Returns a part of the line, one character for each byte. */
    String text(int start, int end) {
        return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
    }
}
