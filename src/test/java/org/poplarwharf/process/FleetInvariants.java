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
 * Checks the journals of all engines against what was configured at each moment.
 *
 * <p>An artifact counts as held from the start of its load until it is absent, its load has failed or its engine has died.
 * Times are those of the machine's monotonic clock, which all processes share; events of one millisecond are judged
 * together. For one test thread.
 */
final class FleetInvariants {
    /** How long an accepted configuration may take to be in force. */
    static final long CONFIGURATION_MILLIS = 4_000;

    /** How long a leaving target may get new requests after it was marked. */
    static final long LEAVING_MILLIS = 5_000;

    private final long memoryBytes;
    private final Map<ArtifactId, TreeMap<Long, Integer>> limits = new HashMap<>();
    private final List<Event> told = new ArrayList<>();

    private record Event(long atMillis, String engine, Happening what) {}

    private sealed interface Happening {
        record Journalled(EngineEvent event) implements Happening {}

        record Died() implements Happening {}

        record Leaving(boolean on) implements Happening {}

        record Judged() implements Happening {}
    }

    /** Checks engines with this much memory each. */
    FleetInvariants(long memoryBytes) {
        this.memoryBytes = memoryBytes;
    }

    /** Tells that from a moment on an artifact may have this many replicas; fewer than before take some seconds. */
    synchronized void configured(ArtifactId artifact, int replicas, long acceptedMillis) {
        limits.computeIfAbsent(artifact, key -> new TreeMap<>()).put(acceptedMillis, replicas);
        told.add(new Event(acceptedMillis + CONFIGURATION_MILLIS + 1, "", new Happening.Judged()));
    }

    /** Tells that the process of an engine had ended by then. */
    synchronized void died(String engine, long atMillis) {
        told.add(new Event(atMillis, engine, new Happening.Died()));
    }

    /** Tells that an engine was marked as leaving, or taken back. */
    synchronized void leaving(String engine, boolean on, long atMillis) {
        told.add(new Event(atMillis, engine, new Happening.Leaving(on)));
    }

    /** Returns every violation in the journals, in order of time. */
    synchronized List<String> violations(Map<String, List<Entry<EngineEvent>>> journals) {
        List<Event> events = new ArrayList<>(told);
        journals.forEach((engine, entries) -> entries.forEach(
                entry -> events.add(new Event(entry.atMillis(), engine, new Happening.Journalled(entry.event())))));
        events.sort(Comparator.comparingLong(Event::atMillis));
        Replay replay = new Replay();
        for (int i = 0; i < events.size(); i++) {
            Event event = events.get(i);
            replay.take(event);
            boolean last = i + 1 == events.size() || events.get(i + 1).atMillis() > event.atMillis();
            if (last) {
                replay.judge(event.atMillis());
            }
        }
        return replay.violations;
    }

    private int limitAt(ArtifactId artifact, long atMillis) {
        TreeMap<Long, Integer> versions = limits.getOrDefault(artifact, new TreeMap<>());
        long sinceMillis = atMillis - CONFIGURATION_MILLIS;
        Long first = versions.floorKey(sinceMillis);
        return versions.subMap(first == null ? sinceMillis : first, true, atMillis, true).values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    private final class Replay {
        private final Map<String, Set<ArtifactId>> held = new TreeMap<>();
        private final Map<String, Long> leavingSince = new HashMap<>();
        private final Set<ArtifactId> over = new HashSet<>();
        private final List<String> violations = new ArrayList<>();

        private void take(Event event) {
            switch (event.what()) {
                case Happening.Died died -> held.remove(event.engine());
                case Happening.Leaving mark -> mark(event, mark.on());
                case Happening.Journalled journalled -> take(event, journalled.event());
                case Happening.Judged judged -> {
                    // It only makes the moment be judged.
                }
            }
        }

        private void mark(Event event, boolean on) {
            if (on) {
                leavingSince.putIfAbsent(event.engine(), event.atMillis());
            } else {
                leavingSince.remove(event.engine());
            }
        }

        private void take(Event event, EngineEvent happened) {
            switch (happened) {
                case EngineEvent.StateChanged change -> changed(event, change);
                case EngineEvent.Crashed crashed -> held.remove(event.engine());
                case EngineEvent.MemoryExceeded breach -> violate(event, "memory overcommitted: " + breach);
                case EngineEvent.RequestStarted started -> requestStarted(event, started);
                case EngineEvent.OrderReceived ordered -> {
                    // Only effects count.
                }
                case EngineEvent.RequestEnded ended -> {
                    // An end breaks no rule of the fleet.
                }
            }
        }

        private void changed(Event event, EngineEvent.StateChanged change) {
            Set<ArtifactId> artifacts = held.computeIfAbsent(event.engine(), key -> new HashSet<>());
            if (change.state() == State.ABSENT || change.state() == State.LOAD_FAILED) {
                artifacts.remove(change.artifact());
            } else {
                artifacts.add(change.artifact());
            }
            if (change.usedBytes() > memoryBytes) {
                violate(event, "memory over " + memoryBytes + ": " + change);
            }
        }

        private void requestStarted(Event event, EngineEvent.RequestStarted started) {
            Long since = leavingSince.get(event.engine());
            if (since != null && event.atMillis() > since + LEAVING_MILLIS) {
                violate(event, "a leaving target began " + started.requestId());
            }
        }

        private void judge(long atMillis) {
            Map<ArtifactId, List<String>> engines = new TreeMap<>();
            held.forEach((engine, artifacts) -> artifacts.forEach(artifact ->
                    engines.computeIfAbsent(artifact, key -> new ArrayList<>()).add(engine)));
            over.removeIf(artifact -> !engines.containsKey(artifact));
            engines.forEach((artifact, holders) -> {
                int limit = limitAt(artifact, atMillis);
                if (holders.size() <= limit) {
                    over.remove(artifact);
                } else if (over.add(artifact)) {
                    violations.add(atMillis + ": " + artifact + " is held by " + holders + ", allowed " + limit);
                }
            });
        }

        private void violate(Event event, String what) {
            violations.add(event.atMillis() + ": " + event.engine() + " " + what);
        }
    }
}
