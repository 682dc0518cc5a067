package org.poplarwharf.internal.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Reads and writes the JSON bodies of requests to external systems and their responses. Unknown fields are ignored. Stateless and thread-safe.
 */
final class JsonCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);

    private JsonCodec() {}

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage(value.getClass().getSimpleName(), e);
        }
    }

    static <T> T read(byte[] bytes, Class<T> type, String source) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw Reporter.malformedMessage(source, null);
            }
            return value;
        } catch (IOException e) {
            throw Reporter.malformedMessage(source, e);
        }
    }
}
