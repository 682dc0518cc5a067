package org.poplarwharf.internal.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads fields of a problem document. Stateless and thread-safe. */
final class ProblemText {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemText() {}

    /** Returns a field's text, or {@code unreadable} where the text is no problem document. */
    static String field(String problem, String name) {
        try {
            return MAPPER.readTree(problem).path(name).asText("unreadable");
        } catch (JsonProcessingException e) {
            return "unreadable";
        }
    }
}
