package org.poplarwharf.internal.config;

import java.util.List;
import java.util.Optional;

/**
 * The sections of a configuration file and the keys allowed in their items. Immutable and thread-safe.
 */
enum ConfigSection {
    CELLS("cells", "name", "zones"),
    TARGETS("targets", "name", "kind", "address", "zone", "memory", "maxConcurrent", "fencing", "accelerators"),
    MODELS("models", "name", "version", "size", "replicas", "minReplicas", "priority", "zones", "targets", "keepAlive"),
    ADAPTERS("adapters", "name", "model", "version", "size", "replicas"),
    SERVICES("services", "name", "targets", "nonRepeatable"),
    CLASSES("classes", "name", "deadline", "priority", "queueLimit"),
    TENANTS("tenants", "name", "weight", "class");

    static final String NAME = "name";
    static final String MODEL = "model";

    /** The key that lets the values of a later file override earlier ones. */
    static final String OVERRIDE = "override";

    private final String key;
    private final List<String> itemKeys;

    ConfigSection(String key, String... itemKeys) {
        this.key = key;
        this.itemKeys = List.of(itemKeys);
    }

    String key() {
        return key;
    }

    List<String> itemKeys() {
        return itemKeys;
    }

    static Optional<ConfigSection> of(String key) {
        for (ConfigSection section : values()) {
            if (section.key.equals(key)) {
                return Optional.of(section);
            }
        }
        return Optional.empty();
    }
}
