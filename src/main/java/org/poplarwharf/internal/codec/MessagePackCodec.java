package org.poplarwharf.internal.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Encodes messages and records as MessagePack and decodes them.
 *
 * <p>Invariant: unknown fields are ignored, so that nodes of two releases can run at the same time. Bytes that cannot be
 * decoded cause a {@code malformed-message} failure and no other exception. Immutable and thread-safe.
 *
 * @param <T> the message type, usually a sealed interface with Jackson's type annotations
 */
public final class MessagePackCodec<T> {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);

    private final Class<T> type;

    public MessagePackCodec(Class<T> type) {
        this.type = type;
    }

    /** Encodes a message. */
    public byte[] encode(T message) {
        try {
            return MAPPER.writerFor(type).writeValueAsBytes(message);
        } catch (IOException e) {
            throw Reporter.malformedMessage(type.getSimpleName(), e);
        }
    }

    /**
     * Decodes a message; throws {@code malformed-message} if the bytes contain none.
     *
     * @param source the sender, which the failure names
     */
    public T decode(byte[] bytes, String source) {
        try {
            T message = MAPPER.readValue(bytes, type);
            if (message == null) {
                throw Reporter.malformedMessage(source, null);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw Reporter.malformedMessage(source, e);
        }
    }
}
