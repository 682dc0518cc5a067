package org.poplarwharf.internal.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A journalled event of the weight store stand-in. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StoreEvent.Started.class, name = "started"),
    @JsonSubTypes.Type(value = StoreEvent.Finished.class, name = "finished")
})
public sealed interface StoreEvent {
    /** A fetch started; {@code active} is the number of fetches in progress, including this one. */
    record Started(long fetchId, long sizeBytes, int active) implements StoreEvent {}

    /** A fetch finished. */
    record Finished(long fetchId, long tookMillis) implements StoreEvent {}
}
