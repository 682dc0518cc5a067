package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Records which fault affected which component and when. Thread-safe. */
final class FaultTimeline {
    /** A component counts as faulty for this long after its fault has ended: the recovery time that the invariants allow. */
    static final long RECOVERY_MARGIN_MILLIS = 3_000;

    private final List<InjectedFault> faults = new ArrayList<>();

    /** A fault at one component. Planned faults are announced to the system and must not lose any request. */
    static final class InjectedFault {
        final String kind;
        final String component;
        final boolean planned;
        final long startMillis;
        private long endMillis = Long.MAX_VALUE;

        private InjectedFault(String kind, String component, boolean planned, long startMillis) {
            this.kind = kind;
            this.component = component;
            this.planned = planned;
            this.startMillis = startMillis;
        }
    }

    synchronized InjectedFault recordStart(String kind, String component, boolean planned, long nowMillis) {
        InjectedFault fault = new InjectedFault(kind, component, planned, nowMillis);
        faults.add(fault);
        return fault;
    }

    synchronized void recordEnd(InjectedFault fault, long nowMillis) {
        fault.endMillis = nowMillis;
    }

    /** Returns whether no unplanned fault was active during the interval or ended shortly before it. */
    synchronized boolean hasNoUnplannedFault(long fromMillis, long toMillis) {
        return faults.stream().noneMatch(fault -> !fault.planned && overlaps(fault, fromMillis, toMillis));
    }

    /** Returns whether no fault affected any of the components during the interval or shortly before it. */
    synchronized boolean hasNoFaultOn(long fromMillis, long toMillis, String... components) {
        List<String> searched = List.of(components);
        return faults.stream()
                .noneMatch(fault -> searched.contains(fault.component) && overlaps(fault, fromMillis, toMillis));
    }

    /** Returns whether a fault of one of these kinds affected a component during the interval or shortly before it. */
    synchronized boolean hasFault(Set<String> kinds, String component, long fromMillis, long toMillis) {
        return faults.stream()
                .filter(fault -> fault.component.equals(component) && kinds.contains(fault.kind))
                .anyMatch(fault -> overlaps(fault, fromMillis, toMillis));
    }

    /** Returns whether a fault of a kind began at a component during the interval. */
    synchronized boolean hasStart(FaultInjector.Kind kind, String component, long fromMillis, long toMillis) {
        return faults.stream()
                .filter(fault -> fault.component.equals(component) && fault.kind.equals(kind.name()))
                .anyMatch(fault -> fault.startMillis >= fromMillis && fault.startMillis <= toMillis);
    }

    /** Returns the latest end of the faults that ended by the given time. */
    synchronized Optional<Long> lastEndBefore(long beforeMillis) {
        return faults.stream()
                .map(fault -> fault.endMillis)
                .filter(end -> end <= beforeMillis)
                .max(Long::compare);
    }

    private static boolean overlaps(InjectedFault fault, long fromMillis, long toMillis) {
        boolean ended = fault.endMillis != Long.MAX_VALUE && fault.endMillis + RECOVERY_MARGIN_MILLIS < fromMillis;
        return !ended && fault.startMillis <= toMillis;
    }
}
