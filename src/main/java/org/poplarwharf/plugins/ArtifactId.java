package org.poplarwharf.plugins;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies something that targets serve: a model, an adapter of a model, or a service that is no model.
 *
 * <p>Text forms: {@code llama}, {@code llama:audit}, {@code service/ledger}. Immutable and thread-safe.
 *
 * @param kind the kind of artifact
 * @param name the name of the model or service
 * @param adapter the name of the adapter; an empty string unless {@code kind} is {@code ADAPTER}
 */
public record ArtifactId(Kind kind, String name, String adapter) implements Comparable<ArtifactId> {
    private static final String SERVICE_PREFIX = "service/";

    /** The kind of an artifact. */
    public enum Kind {
        MODEL,
        ADAPTER,
        SERVICE
    }

    public static ArtifactId model(String name) {
        return new ArtifactId(Kind.MODEL, name, "");
    }

    public static ArtifactId adapter(String model, String adapter) {
        return new ArtifactId(Kind.ADAPTER, model, adapter);
    }

    public static ArtifactId service(String name) {
        return new ArtifactId(Kind.SERVICE, name, "");
    }

    /** Parses the text form of an artifact id. */
    @JsonCreator
    public static ArtifactId parse(String text) {
        if (text.startsWith(SERVICE_PREFIX)) {
            return service(text.substring(SERVICE_PREFIX.length()));
        }
        int colon = text.indexOf(':');
        return colon < 0 ? model(text) : adapter(text.substring(0, colon), text.substring(colon + 1));
    }

    /** Returns the model that must be loaded for an adapter; returns any other artifact unchanged. */
    public ArtifactId base() {
        return kind == Kind.ADAPTER ? model(name) : this;
    }

    @Override
    public int compareTo(ArtifactId other) {
        return toString().compareTo(other.toString());
    }

    @Override
    @JsonValue
    public String toString() {
        return switch (kind) {
            case MODEL -> name;
            case ADAPTER -> name + ":" + adapter;
            case SERVICE -> SERVICE_PREFIX + name;
        };
    }
}
