package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Reads fields of JSON documents that any release may have written. Unknown fields are ignored. A field that is missing
 * or has another type than expected is treated as absent. Stateless and thread-safe.
 */
final class JsonFields {
    static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

    private JsonFields() {}

    /** Parses a JSON object; throws {@code malformed-message} if the bytes are not a JSON object. */
    static JsonNode parse(byte[] bytes, String source) {
        try {
            JsonNode document = MAPPER.readTree(bytes);
            if (document == null || !document.isObject()) {
                throw Reporter.malformedMessage(source, null);
            }
            return document;
        } catch (IOException e) {
            throw Reporter.malformedMessage(source, e);
        }
    }

    static Optional<String> getString(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
    }

    static OptionalLong getLong(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isNumber() ? OptionalLong.of(value.longValue()) : OptionalLong.empty();
    }

    /** Returns a whole number; empty if it is written as a fraction or doesn't fit. */
    static OptionalLong getInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isIntegralNumber() && value.canConvertToLong()
                ? OptionalLong.of(value.longValue())
                : OptionalLong.empty();
    }

    static double getDouble(JsonNode node, String field, double defaultValue) {
        JsonNode value = node.path(field);
        return value.isNumber() ? value.doubleValue() : defaultValue;
    }

    static boolean getBoolean(JsonNode node, String field) {
        return node.path(field).isBoolean() && node.path(field).booleanValue();
    }

    static Set<String> getStrings(JsonNode node, String field) {
        Set<String> strings = new LinkedHashSet<>();
        for (JsonNode element : node.path(field)) {
            if (element.isTextual()) {
                strings.add(element.textValue());
            }
        }
        return strings;
    }

    /** Returns the objects in an array; the list is empty if the field is not an array. */
    static List<JsonNode> getObjects(JsonNode node, String field) {
        List<JsonNode> objects = new ArrayList<>();
        JsonNode array = node.path(field);
        if (!array.isArray()) {
            return objects;
        }
        for (JsonNode element : array) {
            if (element.isObject()) {
                objects.add(element);
            }
        }
        return objects;
    }
}
