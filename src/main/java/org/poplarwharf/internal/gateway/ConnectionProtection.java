package org.poplarwharf.internal.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * What a node does against other ends of its connections that do not behave: the memory that it holds for them, the limits
 * on their number, and the count and log of what it refuses.
 *
 * <p>Invariant: writes at most one line a second for each kind of event. Confined to the event loop.
 */
final class ConnectionProtection {
    /** Descriptors are limited to this share for callers: each request under way needs another one for its target. */
    private static final int DESCRIPTORS_PER_CALLER = 2;

    /** The platform asks for readiness on one connection at a time, and an operator for metrics. */
    private static final int DESCRIPTORS_PER_READINESS_CONNECTION = 16;

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final HeldMemory memory;
    private final ConnectionLimit<ConnectionGuard> callers;
    private final ConnectionLimit<ConnectionGuard> readiness;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final Map<Event, Long> lastLoggedMillis = new EnumMap<>(Event.class);
    private final Map<Event, Long> unloggedCounts = new EnumMap<>(Event.class);

    /** Something that was refused or closed. */
    enum Event {
        /** A request was refused since the node holds too much. */
        REFUSED_FOR_MEMORY,
        /** A connection was closed since it held most for longest. */
        CLOSED_FOR_MEMORY,
        /** A connection was closed since its caller read nothing of its responses for a while. */
        CLOSED_WITHOUT_PROGRESS,
        /** A connection was closed to make room for another one. */
        CLOSED_FOR_ANOTHER,
        /** A connection was refused since there are too many. */
        REFUSED_CONNECTION
    }

    ConnectionProtection(
            long memoryBudgetBytes,
            int maxDescriptorCount,
            DecisionLog log,
            GatewayMetrics metrics,
            MonotonicClock clock) {
        this.memory = new HeldMemory(memoryBudgetBytes);
        this.callers = new ConnectionLimit<>(Math.max(1, maxDescriptorCount / DESCRIPTORS_PER_CALLER), false);
        this.readiness =
                new ConnectionLimit<>(Math.max(1, maxDescriptorCount / DESCRIPTORS_PER_READINESS_CONNECTION), true);
        this.log = log;
        this.metrics = metrics;
        this.clock = clock;
        metrics.registerGauge("held_bytes", memory::heldBytes);
        metrics.registerGauge("caller_connections", callers::count);
        metrics.registerGauge("readiness_connections", readiness::count);
    }

    HeldMemory memory() {
        return memory;
    }

    ConnectionLimit<ConnectionGuard> callers() {
        return callers;
    }

    ConnectionLimit<ConnectionGuard> readiness() {
        return readiness;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void record(Event event) {
        String name = event.name().toLowerCase(Locale.ROOT);
        metrics.countProtection(name);
        long count = unloggedCounts.merge(event, 1L, Long::sum);
        Long lastMillis = lastLoggedMillis.get(event);
        if (lastMillis == null || clock.nowMillis() - lastMillis >= LOG_INTERVAL_MILLIS) {
            lastLoggedMillis.put(event, clock.nowMillis());
            unloggedCounts.remove(event);
            log.log(
                    "callers-limited",
                    "reason",
                    name.replace('_', '-'),
                    "count",
                    count,
                    "heldBytes",
                    memory.heldBytes(),
                    "connections",
                    callers.count());
        }
    }
}
