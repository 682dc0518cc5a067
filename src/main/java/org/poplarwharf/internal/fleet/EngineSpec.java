package org.poplarwharf.internal.fleet;

import java.util.Map;

/**
 * What each engine of a service can hold and run. Immutable and thread-safe.
 *
 * @param batchSlots requests that run at once
 * @param cacheTokens tokens that running requests and kept prompts share
 * @param memoryMb memory for weights and adapters
 * @param adapterSlots adapters that fit at once
 * @param storeLoadsPerSecond loads that the weight store allows over all targets
 * @param backups whether a target can send the memory of a run to another one as it grows
 */
public record EngineSpec(
        int batchSlots,
        long cacheTokens,
        double memoryMb,
        int adapterSlots,
        double storeLoadsPerSecond,
        boolean backups,
        Map<String, ModelSpec> models) {}
