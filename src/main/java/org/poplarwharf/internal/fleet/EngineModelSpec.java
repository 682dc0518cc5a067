package org.poplarwharf.internal.fleet;

/**
 * A model that engines may load. Immutable and thread-safe.
 *
 * @param sizeMb memory that the weights occupy, in megabytes
 * @param storeLoadMillis duration of a load from the weight store
 * @param diskLoadMillis duration of a load from a copy on the target's disk
 * @param memoryLoadMillis duration of a load from a copy in the target's main memory
 * @param adapterSizeMb memory that one adapter occupies, in megabytes
 */
public record EngineModelSpec(
        String name,
        double sizeMb,
        long storeLoadMillis,
        long diskLoadMillis,
        long memoryLoadMillis,
        int adapters,
        double adapterSizeMb) {}
