package org.poplarwharf.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.State;
import org.poplarwharf.internal.standin.Journal.Entry;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Checks the journals of all engines against the configuration that was current at each time.
 *
 * <p>An engine holds an artifact from the start of the load until the artifact is absent, the load has failed or the engine
 * has died. Times are from the machine's monotonic clock, which all processes share. Replica limits are checked once per
 * millisecond, after all events of that millisecond. Methods are synchronized.
 */
final class FleetInvariants {
    /** Time within which an accepted configuration must take effect. */
    static final long CONFIG_PROPAGATION_LIMIT_MILLIS = 4_000;

    /** Time after being marked as leaving during which a target may still get new requests. */
    static final long LEAVING_GRACE_MILLIS = 5_000;

    private final long memoryBytes;
    private final Map<ArtifactId, TreeMap<Long, Integer>> replicaLimits = new HashMap<>();
    private final List<Event> recordedEvents = new ArrayList<>();

    private record Event(long atMillis, String engine, EventDetail detail) {}

    private sealed interface EventDetail {
        record Journalled(EngineEvent event) implements EventDetail {}

        record EngineDied() implements EventDetail {}

        record LeavingMark(boolean isLeaving) implements EventDetail {}

        record LimitRecheck() implements EventDetail {}
    }

    /** Creates a check for engines with this much memory each. */
    FleetInvariants(long memoryBytes) {
        this.memoryBytes = memoryBytes;
    }

    /** Records the replica limit of an artifact from a time on. A decrease takes some seconds to apply. */
    synchronized void recordReplicaLimit(ArtifactId artifact, int replicas, long acceptedMillis) {
        replicaLimits.computeIfAbsent(artifact, key -> new TreeMap<>()).put(acceptedMillis, replicas);
        recordedEvents.add(
                new Event(acceptedMillis + CONFIG_PROPAGATION_LIMIT_MILLIS + 1, "", new EventDetail.LimitRecheck()));
    }

    /** Records that the process of an engine had ended by this time. */
    synchronized void recordEngineDeath(String engine, long atMillis) {
        recordedEvents.add(new Event(atMillis, engine, new EventDetail.EngineDied()));
    }

    /** Records that an engine was marked as leaving, or that the mark was removed. */
    synchronized void recordLeaving(String engine, boolean isLeaving, long atMillis) {
        recordedEvents.add(new Event(atMillis, engine, new EventDetail.LeavingMark(isLeaving)));
    }

    /** Returns all violations in the journals in chronological order. */
    synchronized List<String> findViolations(Map<String, List<Entry<EngineEvent>>> journals) {
        List<Event> events = new ArrayList<>(recordedEvents);
        journals.forEach((engine, entries) -> entries.forEach(
                entry -> events.add(new Event(entry.atMillis(), engine, new EventDetail.Journalled(entry.event())))));
        events.sort(Comparator.comparingLong(Event::atMillis));
        Replay replay = new Replay();
        for (int i = 0; i < events.size(); i++) {
            Event event = events.get(i);
            replay.apply(event);
            boolean isLastOfMillisecond =
                    i + 1 == events.size() || events.get(i + 1).atMillis() > event.atMillis();
            if (isLastOfMillisecond) {
                replay.checkReplicaLimits(event.atMillis());
            }
        }
        return replay.violations;
    }

    private int limitAt(ArtifactId artifact, long atMillis) {
        TreeMap<Long, Integer> limitsByTime = replicaLimits.getOrDefault(artifact, new TreeMap<>());
        long sinceMillis = atMillis - CONFIG_PROPAGATION_LIMIT_MILLIS;
        Long currentVersionMillis = limitsByTime.floorKey(sinceMillis);
        return limitsByTime
                .subMap(currentVersionMillis == null ? sinceMillis : currentVersionMillis, true, atMillis, true)
                .values()
                .stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    private final class Replay {
        private final Map<String, Set<ArtifactId>> heldByEngine = new TreeMap<>();
        private final Map<String, Long> leavingSinceByEngine = new HashMap<>();
        private final Set<ArtifactId> artifactsOverLimit = new HashSet<>();
        private final List<String> violations = new ArrayList<>();

        private void apply(Event event) {
            switch (event.detail()) {
                case EventDetail.EngineDied death -> heldByEngine.remove(event.engine());
                case EventDetail.LeavingMark mark -> applyLeavingMark(event, mark.isLeaving());
                case EventDetail.Journalled journalled -> apply(event, journalled.event());
                case EventDetail.LimitRecheck recheck -> {
                    // The event only triggers a check of the replica limits at its time.
                }
            }
        }

        private void applyLeavingMark(Event event, boolean isLeaving) {
            if (isLeaving) {
                leavingSinceByEngine.putIfAbsent(event.engine(), event.atMillis());
            } else {
                leavingSinceByEngine.remove(event.engine());
            }
        }

        private void apply(Event event, EngineEvent engineEvent) {
            switch (engineEvent) {
                case EngineEvent.StateChanged change -> applyStateChange(event, change);
                case EngineEvent.Crashed crashed -> heldByEngine.remove(event.engine());
                case EngineEvent.MemoryExceeded breach -> addViolation(event, "memory overcommitted: " + breach);
                case EngineEvent.RequestStarted started -> checkRequestStart(event, started);
                case EngineEvent.OrderReceived ordered -> {
                    // An order is checked by the state changes that it causes.
                }
                case EngineEvent.RequestEnded ended -> {
                    // The end of a request can't violate a rule.
                }
            }
        }

        private void applyStateChange(Event event, EngineEvent.StateChanged change) {
            Set<ArtifactId> artifacts = heldByEngine.computeIfAbsent(event.engine(), key -> new HashSet<>());
            if (change.state() == State.ABSENT || change.state() == State.LOAD_FAILED) {
                artifacts.remove(change.artifact());
            } else {
                artifacts.add(change.artifact());
            }
            if (change.usedBytes() > memoryBytes) {
                addViolation(event, "memory over " + memoryBytes + ": " + change);
            }
        }

        private void checkRequestStart(Event event, EngineEvent.RequestStarted started) {
            Long leavingMillis = leavingSinceByEngine.get(event.engine());
            if (leavingMillis != null && event.atMillis() > leavingMillis + LEAVING_GRACE_MILLIS) {
                addViolation(event, "a leaving target started request " + started.requestId());
            }
        }

        private void checkReplicaLimits(long atMillis) {
            Map<ArtifactId, List<String>> holdersByArtifact = new TreeMap<>();
            heldByEngine.forEach((engine, artifacts) -> artifacts.forEach(artifact -> holdersByArtifact
                    .computeIfAbsent(artifact, key -> new ArrayList<>())
                    .add(engine)));
            artifactsOverLimit.removeIf(artifact -> !holdersByArtifact.containsKey(artifact));
            holdersByArtifact.forEach((artifact, holders) -> {
                int limit = limitAt(artifact, atMillis);
                if (holders.size() <= limit) {
                    artifactsOverLimit.remove(artifact);
                } else if (artifactsOverLimit.add(artifact)) {
                    violations.add(atMillis + ": " + artifact + " is held by " + holders + ", allowed " + limit);
                }
            });
        }

        private void addViolation(Event event, String detail) {
            violations.add(event.atMillis() + ": " + event.engine() + " " + detail);
        }
    }
}
