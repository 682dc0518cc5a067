package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.http.MediaTypes;
import java.io.IOException;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Typed records as JSON, in HTTP answers and journals. OutcomeUnknown fields are refused. Stateless and thread-safe.
 */
final class StandinJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private StandinJson() {}

    static byte[] write(Object value) {
        return write(value, MAPPER.writer());
    }

    static <E> byte[] writeEntry(Journal.Entry<E> entry, Class<E> type) {
        return write(entry, MAPPER.writerFor(entryType(type)));
    }

    static <E> byte[] writeEntries(List<Journal.Entry<E>> entries, Class<E> type) {
        return write(
                entries,
                MAPPER.writerFor(MAPPER.getTypeFactory().constructCollectionType(List.class, entryType(type))));
    }

    private static JavaType entryType(Class<?> type) {
        return MAPPER.getTypeFactory().constructParametricType(Journal.Entry.class, type);
    }

    private static byte[] write(Object value, ObjectWriter writer) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage(value.getClass().getSimpleName(), e);
        }
    }

    static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw Reporter.malformedMessage(type.getSimpleName(), e);
        }
    }

    static JsonNode tree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw Reporter.malformedMessage("a caller", e);
        }
    }

    static HttpResponse response(int status, Object value) {
        return response(status, write(value));
    }

    static HttpResponse response(int status, byte[] json) {
        return HttpResponse.ofCode(status)
                .withHeader(
                        HttpHeaders.CONTENT_TYPE,
                        HttpHeaderValue.ofContentType(io.activej.http.ContentType.of(MediaTypes.JSON)))
                .withBody(json)
                .build();
    }
}
