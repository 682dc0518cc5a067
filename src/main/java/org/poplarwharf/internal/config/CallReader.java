package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.config.ConfigItem.Place;
import org.poplarwharf.internal.config.ConfigItem.Value;

/** Reads a call that may not be repeated: its method and the beginning of its path. Used by one thread. */
final class CallReader {
    private static final String METHOD = "method";
    private static final String PATH = "path";
    private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

    private final Place place;
    private final JsonNode node;
    private final List<ConfigFault> faults;

    CallReader(Value value, List<ConfigFault> faults) {
        this.place = value.place();
        this.node = value.node();
        this.faults = faults;
    }

    /** Returns the call, or keeps its faults and returns nothing. */
    Optional<FleetConfig.CallSpec> read() {
        int faultsBefore = faults.size();
        if (!node.isObject()) {
            faults.add(place.fault("must have the keys method and path"));
            return Optional.empty();
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            if (!entry.getKey().equals(METHOD) && !entry.getKey().equals(PATH)) {
                faults.add(place.at(entry.getKey()).fault("unknown key; known are method, path"));
            }
        }
        String method = node.path(METHOD).asText();
        if (!METHODS.contains(method)) {
            faults.add(place.at(METHOD).fault("'" + method + "' is none of " + String.join(", ", METHODS)));
        }
        String path = node.path(PATH).asText();
        if (!path.startsWith("/")) {
            faults.add(place.at(PATH).fault("'" + path + "' must begin with /"));
        }
        return faults.size() > faultsBefore ? Optional.empty() : Optional.of(new FleetConfig.CallSpec(method, path));
    }
}
