package org.poplarwharf.internal.fleet;

import java.util.Map;

/**
 * Capacity of each engine of a service, and the models that the engines may load. Immutable and thread-safe.
 *
 * @param batchSlots requests that an engine runs concurrently
 * @param cacheTokens size of the token cache, which running requests and cached prompts share
 * @param memoryMb memory for model weights and adapters, in megabytes
 * @param adapterSlots maximum number of adapters that are loaded at the same time
 * @param storeLoadsPerSecond rate limit of the weight store for loads, over all targets together
 * @param supportsBackups whether a target can replicate the state of a run to a second target while the run proceeds
 * @param models the models by name
 */
public record EngineSpec(
        int batchSlots,
        long cacheTokens,
        double memoryMb,
        int adapterSlots,
        double storeLoadsPerSecond,
        boolean supportsBackups,
        Map<String, EngineModelSpec> models) {}
