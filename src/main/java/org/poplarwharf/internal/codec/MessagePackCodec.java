package org.poplarwharf.internal.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Turns typed messages and records into MessagePack bytes and back.
 *
 * <p>Invariant: a field that the reader does not know is ignored, so that two releases can run side by side; bytes that
 * do not decode raise a {@code malformed-message} failure, never another exception. Immutable and thread-safe.
 *
 * @param <T> the message type, usually a sealed interface that carries Jackson's type annotations
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

    /** Returns the bytes of a message. */
    public byte[] encode(T message) {
        try {
            return MAPPER.writerFor(type).writeValueAsBytes(message);
        } catch (IOException e) {
            throw Reporter.malformedMessage(type.getSimpleName(), e);
        }
    }

    /** Returns the message that the bytes hold; raises {@code malformed-message} where they hold none. */
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
