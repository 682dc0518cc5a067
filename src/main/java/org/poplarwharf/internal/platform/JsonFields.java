package org.poplarwharf.internal.platform;

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
 * Reads fields of JSON documents whose writers may be of any release: an unknown field is passed over, a field that is
 * missing or of another type is absent. Stateless and thread-safe.
 */
final class JsonFields {
    static final ObjectMapper JSON = new ObjectMapper();

    private JsonFields() {}

    /** Returns the document; raises {@code malformed-message} where the bytes hold none. */
    static JsonNode parse(byte[] bytes, String source) {
        try {
            JsonNode document = JSON.readTree(bytes);
            if (document == null || !document.isObject()) {
                throw Reporter.malformedMessage(source, null);
            }
            return document;
        } catch (IOException e) {
            throw Reporter.malformedMessage(source, e);
        }
    }

    static Optional<String> text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
    }

    static OptionalLong number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isNumber() ? OptionalLong.of(value.longValue()) : OptionalLong.empty();
    }

    static double decimal(JsonNode node, String field, double otherwise) {
        JsonNode value = node.path(field);
        return value.isNumber() ? value.doubleValue() : otherwise;
    }

    static boolean flag(JsonNode node, String field) {
        return node.path(field).isBoolean() && node.path(field).booleanValue();
    }

    static Set<String> texts(JsonNode node, String field) {
        Set<String> texts = new LinkedHashSet<>();
        for (JsonNode entry : node.path(field)) {
            if (entry.isTextual()) {
                texts.add(entry.textValue());
            }
        }
        return texts;
    }

    /** Returns the entries of an array of objects; empty where the field is no array. */
    static List<JsonNode> objects(JsonNode node, String field) {
        List<JsonNode> objects = new ArrayList<>();
        JsonNode array = node.path(field);
        if (!array.isArray()) {
            return objects;
        }
        for (JsonNode entry : array) {
            if (entry.isObject()) {
                objects.add(entry);
            }
        }
        return objects;
    }
}
