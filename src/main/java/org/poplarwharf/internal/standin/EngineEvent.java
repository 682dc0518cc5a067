package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * What an engine stand-in did. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = EngineEvent.Ordered.class, name = "ordered"),
    @JsonSubTypes.Type(value = EngineEvent.StateChanged.class, name = "state"),
    @JsonSubTypes.Type(value = EngineEvent.Breached.class, name = "breach"),
    @JsonSubTypes.Type(value = EngineEvent.RequestStarted.class, name = "request-started"),
    @JsonSubTypes.Type(value = EngineEvent.RequestEnded.class, name = "request-ended"),
    @JsonSubTypes.Type(value = EngineEvent.Crashed.class, name = "crashed")
})
public sealed interface EngineEvent {
    /** What an order led to. */
    enum Effect {
        STARTED,
        DEFERRED,
        NOTHING_TO_DO,
        STALE,
        REJECTED
    }

    /** Where an artifact is in its life on the engine. */
    enum State {
        LOADING,
        LOADED,
        LOAD_FAILED,
        UNLOADING,
        ABSENT
    }

    /** How the run of a request ended. */
    enum End {
        ANSWERED,
        CANCELLED,
        CRASHED
    }

    /** An order arrived. */
    record Ordered(EngineDialect.Order order, Effect effect) implements EngineEvent {}

    /**
     * An artifact changed its state.
     *
     * @param usedBytes memory taken by all artifacts after the change
     * @param heldCount artifacts that hold memory after the change
     */
    record StateChanged(ArtifactId artifact, String version, State state, long usedBytes, int heldCount)
            implements EngineEvent {}

    /** More memory was taken than there is. */
    record Breached(ArtifactId artifact, long usedBytes, long memoryBytes) implements EngineEvent {}

    /** A request began to run. */
    record RequestStarted(String requestId, ArtifactId artifact, String bodyHash, int priority, int resumeAfterTokens)
            implements EngineEvent {}

    /** A request ended; {@code tokens} were made in this run. */
    record RequestEnded(String requestId, End end, int tokens) implements EngineEvent {}

    /** The engine died. */
    record Crashed(String reason) implements EngineEvent {}
}
