package org.poplarwharf.internal.http;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Encodes text from outside as the value of a header field. Stateless and thread-safe.
 *
 * <p>Invariant: an encoded value is read as the same bytes by its receiver and adds no other field.
 */
public final class FieldText {
    private static final int VALID = -1;

    private FieldText() {}

    /**
     * Returns the value that stands for a text, with one character for each byte of its UTF-8 form; empty if a field cannot
     * carry the text, for instance because of a line break, or a blank at an end.
     */
    public static Optional<String> encode(String text) {
        if (text.isEmpty() || !text.strip().equals(text)) {
            return Optional.empty();
        }
        try {
            ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            String value = StandardCharsets.ISO_8859_1.decode(bytes).toString();
            return HttpHeaderValidationUtil.validateValidHeaderValue(value) == VALID && !hasControlByte(value)
                    ? Optional.of(value)
                    : Optional.empty();
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    /** Returns whether a field carries the text as it is, since it is ASCII. */
    public static boolean isPlain(String text) {
        return encode(text).filter(text::equals).isPresent();
    }

    private static boolean hasControlByte(String value) {
        return value.chars().anyMatch(character -> character < ' ' || character == '\u007f');
    }
}
