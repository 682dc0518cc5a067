package org.poplarwharf.internal.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads fields of a JSON problem document (RFC 9457). Stateless and thread-safe. */
final class ProblemDocumentReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemDocumentReader() {}

    /** Returns the text of a field, or {@code unreadable} if the document is malformed or lacks the field. */
    static String readField(String document, String fieldName) {
        try {
            return MAPPER.readTree(document).path(fieldName).asText("unreadable");
        } catch (JsonProcessingException e) {
            return "unreadable";
        }
    }
}
