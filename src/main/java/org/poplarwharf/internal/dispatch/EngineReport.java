package org.poplarwharf.internal.dispatch;

import java.util.List;
import java.util.Set;
import org.poplarwharf.internal.fleet.LoadedModel;

/**
 * A target's report on itself, some hundred milliseconds old. Immutable and thread-safe.
 *
 * @param startedAtMillis the time of day of the target's start; zero where it doesn't say
 * @param ordersAccepted orders accepted since its start
 * @param busy whether an order is under way
 */
public record EngineReport(
        long startedAtMillis,
        long ordersAccepted,
        boolean busy,
        List<LoadedModel> models,
        Set<String> inMemory,
        Set<String> onDisk) {}
