package org.poplarwharf.internal.fleet;

/**
 * A model that engines may load. Immutable and thread-safe.
 *
 * @param sizeMb the memory that its weights take
 * @param storeLoadMillis the time of a load from the weight store
 * @param diskLoadMillis the time of a load from a copy on the target's disk
 * @param memoryLoadMillis the time of a load from a copy in the target's main memory
 * @param adapterSizeMb the memory that one adapter takes
 */
public record ModelSpec(
        String name,
        double sizeMb,
        long storeLoadMillis,
        long diskLoadMillis,
        long memoryLoadMillis,
        int adapters,
        double adapterSizeMb) {}
