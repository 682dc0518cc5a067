package org.poplarwharf.internal.dispatch;

import java.util.List;
import java.util.Set;
import org.poplarwharf.internal.fleet.LoadedModel;

/**
 * A target's report of its own state. It may be some hundred milliseconds old. Immutable and thread-safe.
 *
 * @param startedAtMillis the target's start time, in Unix milliseconds; zero if the target doesn't report it
 * @param ordersAccepted the number of orders that the target has accepted since its start
 * @param orderInProgress whether the target is carrying out an order
 * @param inMemory models with a copy of their weights in the target's main memory
 * @param onDisk models with a copy of their weights on the target's disk
 */
public record EngineReport(
        long startedAtMillis,
        long ordersAccepted,
        boolean orderInProgress,
        List<LoadedModel> models,
        Set<String> inMemory,
        Set<String> onDisk) {}
