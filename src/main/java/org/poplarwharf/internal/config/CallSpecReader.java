package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.config.ConfigItem.LocatedValue;
import org.poplarwharf.internal.config.ConfigItem.SourceLocation;

/** Reads the specification of a non-repeatable call: its HTTP method and path prefix. Not thread-safe. */
final class CallSpecReader {
    private static final String METHOD = "method";
    private static final String PATH = "path";
    private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

    private final SourceLocation location;
    private final JsonNode node;
    private final List<ConfigError> errors;

    CallSpecReader(LocatedValue value, List<ConfigError> errors) {
        this.location = value.location();
        this.node = value.node();
        this.errors = errors;
    }

    /** Returns the call, or adds its errors and returns empty. */
    Optional<FleetConfig.CallSpec> read() {
        int errorsBefore = errors.size();
        if (!node.isObject()) {
            errors.add(location.error("must have the keys method and path"));
            return Optional.empty();
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            if (!entry.getKey().equals(METHOD) && !entry.getKey().equals(PATH)) {
                errors.add(location.child(entry.getKey()).error("unknown key; known are method, path"));
            }
        }
        String method = node.path(METHOD).asText();
        if (!METHODS.contains(method)) {
            errors.add(location.child(METHOD).error("'" + method + "' is none of " + String.join(", ", METHODS)));
        }
        String path = node.path(PATH).asText();
        if (!path.startsWith("/")) {
            errors.add(location.child(PATH).error("'" + path + "' must begin with /"));
        }
        return errors.size() > errorsBefore ? Optional.empty() : Optional.of(new FleetConfig.CallSpec(method, path));
    }
}
