package org.poplarwharf.internal.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** A complete response of a target. Immutable by convention. */
record BufferedResponse(int status, String contentType, byte[] body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    boolean isJsonObject() {
        try {
            return MAPPER.readTree(body).isObject();
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Returns the text of a field of the JSON body, or an empty text if the body has none. */
    String jsonField(String name) {
        try {
            return MAPPER.readTree(body).path(name).asText();
        } catch (IOException | RuntimeException e) {
            return "";
        }
    }
}
