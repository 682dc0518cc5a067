package org.poplarwharf.plugins;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of something that targets serve: a model, an adapter of a model, or a plain service.
 *
 * <p>Text forms: {@code llama}, {@code llama:audit}, {@code service/ledger}. Immutable and thread-safe.
 *
 * @param kind what it is
 * @param name the model or service
 * @param adapter the adapter, empty text unless {@code kind} is {@code ADAPTER}
 */
public record ArtifactId(Kind kind, String name, String adapter) implements Comparable<ArtifactId> {
    private static final String SERVICE_PREFIX = "service/";

    /** What an artifact is. */
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

    /** Returns the artifact that a text form names. */
    @JsonCreator
    public static ArtifactId parse(String text) {
        if (text.startsWith(SERVICE_PREFIX)) {
            return service(text.substring(SERVICE_PREFIX.length()));
        }
        int colon = text.indexOf(':');
        return colon < 0 ? model(text) : adapter(text.substring(0, colon), text.substring(colon + 1));
    }

    /** Returns the model that must be loaded for this artifact; itself unless it is an adapter. */
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
