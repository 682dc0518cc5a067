package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An item of a configuration section, with its values and the location of each value.
 *
 * <p>Not thread-safe; used by one thread during a merge.
 */
final class ConfigItem {
    private final ConfigSection section;
    private final String id;
    private final SourceLocation location;
    private final Map<String, LocatedValue> values = new LinkedHashMap<>();

    /** A file and the path of a key in it. */
    record SourceLocation(String file, String key) {
        SourceLocation child(String name) {
            return new SourceLocation(file, key.isEmpty() ? name : key + "." + name);
        }

        SourceLocation child(int index) {
            return new SourceLocation(file, key + "[" + index + "]");
        }

        ConfigError error(String reason) {
            return new ConfigError(file, key, reason);
        }
    }

    /** A value and its location. */
    record LocatedValue(SourceLocation location, JsonNode node) {}

    ConfigItem(ConfigSection section, String id, SourceLocation location) {
        this.section = section;
        this.id = id;
        this.location = location;
    }

    ConfigSection section() {
        return section;
    }

    String id() {
        return id;
    }

    /** Returns the location where the item was first listed. */
    SourceLocation location() {
        return location;
    }

    Optional<LocatedValue> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** Returns the location of a key. If no file sets the key, returns where the key would be in the item. */
    SourceLocation locationOf(String key) {
        return value(key).map(LocatedValue::location).orElse(location.child(key));
    }

    void put(String key, LocatedValue value) {
        values.put(key, value);
    }
}
