package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * What the weight store stand-in did. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StoreEvent.Started.class, name = "started"),
    @JsonSubTypes.Type(value = StoreEvent.Finished.class, name = "finished")
})
public sealed interface StoreEvent {
    /** A fetch began; {@code active} counts it too. */
    record Started(long fetchId, long sizeBytes, int active) implements StoreEvent {}

    /** A fetch ended. */
    record Finished(long fetchId, long tookMillis) implements StoreEvent {}
}
