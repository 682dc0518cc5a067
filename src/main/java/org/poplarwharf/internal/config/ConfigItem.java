package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One item of a section with the values that the files gave it, each with its place.
 *
 * <p>Used by one thread while a merge runs.
 */
final class ConfigItem {
    private final ConfigSection section;
    private final String id;
    private final Place place;
    private final Map<String, Value> values = new LinkedHashMap<>();

    /** Where a value stands. */
    record Place(String file, String key) {
        Place at(String child) {
            return new Place(file, key.isEmpty() ? child : key + "." + child);
        }

        Place at(int index) {
            return new Place(file, key + "[" + index + "]");
        }

        ConfigFault fault(String reason) {
            return new ConfigFault(file, key, reason);
        }
    }

    /** A value and its place. */
    record Value(Place place, JsonNode node) {}

    ConfigItem(ConfigSection section, String id, Place place) {
        this.section = section;
        this.id = id;
        this.place = place;
    }

    ConfigSection section() {
        return section;
    }

    String id() {
        return id;
    }

    /** Returns where the item was first listed. */
    Place place() {
        return place;
    }

    Optional<Value> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** Returns the place of a key, or of the item when no file gives the key. */
    Place placeOf(String key) {
        return value(key).map(Value::place).orElse(place.at(key));
    }

    void put(String key, Value value) {
        values.put(key, value);
    }
}
