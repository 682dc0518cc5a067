package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * A journalled event of an engine stand-in. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = EngineEvent.OrderReceived.class, name = "ordered"),
    @JsonSubTypes.Type(value = EngineEvent.StateChanged.class, name = "state"),
    @JsonSubTypes.Type(value = EngineEvent.MemoryExceeded.class, name = "breach"),
    @JsonSubTypes.Type(value = EngineEvent.RequestStarted.class, name = "request-started"),
    @JsonSubTypes.Type(value = EngineEvent.RequestEnded.class, name = "request-ended"),
    @JsonSubTypes.Type(value = EngineEvent.Crashed.class, name = "crashed")
})
public sealed interface EngineEvent {
    /** The immediate effect of an order. */
    enum Effect {
        STARTED,
        DEFERRED,
        NOTHING_TO_DO,
        STALE,
        REJECTED
    }

    /** The state of an artifact on the engine. */
    enum State {
        LOADING,
        LOADED,
        LOAD_FAILED,
        UNLOADING,
        ABSENT
    }

    /** How a request's run ended. */
    enum End {
        ANSWERED,
        CANCELLED,
        CRASHED
    }

    /** A load or unload order arrived. */
    record OrderReceived(EngineDialect.Order order, Effect effect) implements EngineEvent {}

    /**
     * An artifact changed state.
     *
     * @param usedBytes memory used by all artifacts after the change
     * @param heldCount number of artifacts in memory after the change
     */
    record StateChanged(ArtifactId artifact, String version, State state, long usedBytes, int heldCount)
            implements EngineEvent {}

    /** Loading an artifact made the used memory exceed the engine's memory. */
    record MemoryExceeded(ArtifactId artifact, long usedBytes, long memoryBytes) implements EngineEvent {}

    /** A request started to run. {@code bodyHash} is the SHA-256 of its body in hexadecimal. */
    record RequestStarted(String requestId, ArtifactId artifact, String bodyHash, int priority, int resumeAfterTokens)
            implements EngineEvent {}

    /** A request ended after {@code tokens} tokens were produced in this run. */
    record RequestEnded(String requestId, End end, int tokens) implements EngineEvent {}

    /** The engine crashed. */
    record Crashed(String reason) implements EngineEvent {}
}
