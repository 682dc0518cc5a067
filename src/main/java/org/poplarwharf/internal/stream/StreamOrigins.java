package org.poplarwharf.internal.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The software versions that began recent streams, as far as this node knows. Versions don't understand what others wrote,
 * so a stream may continue only at its own version, and a node that doesn't know it must not guess.
 *
 * <p>A node knows the streams that it has forwarded. The lease holder knows those that nodes have reported to it, and asks
 * the nodes for others. Without any record, the version is known only if the service has had no other version for as long as
 * a stream can be resumed. A node that has not followed the targets for so long must have learned their earlier versions.
 *
 * <p>Invariant: keeps a bounded number of streams, for a bounded time. Confined to one thread.
 */
public final class StreamOrigins {
    /** Callers give up on a stream before this time is over. */
    static final long RETENTION_MILLIS = 30_000;

    /** About 50 MB, and the streams of two seconds at the size in docs/CAPACITY.md; the nodes know the older ones. */
    static final int MAX_STREAM_COUNT = 200_000;

    private final LongSupplier clock;
    private final ServiceVersions versions;
    private final List<Listener> listeners = new ArrayList<>();
    private final Map<String, Entry> byStreamId = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> goneMillisByVersion = new HashMap<>();

    private long watchedSinceMillis;
    private ServiceVersions earlierVersions = service -> Optional.empty();

    /** Knows the software versions of targets. */
    public interface ServiceVersions {
        /** Returns the software versions of the targets of a service; empty if some may be unknown. */
        Optional<Set<String>> versionsOf(String service);
    }

    /** Receives what this node learns about streams. */
    public interface Listener {
        /** Called with each origin that is new to this node. */
        void recorded(StreamOrigin origin);

        /** Called when the versions of streams without a record may have become certain. */
        void versionsLearned();
    }

    private record Entry(StreamOrigin origin, long recordedMillis) {}

    /**
     * Creates an empty table; the clock is the one of the node's other components.
     *
     * @param versions knows the targets that serve now
     */
    public StreamOrigins(LongSupplier clock, ServiceVersions versions) {
        this.clock = clock;
        this.versions = versions;
        this.watchedSinceMillis = clock.getAsLong();
    }

    /** Registers a listener. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Forgets for how long the targets have been followed, since changes between two snapshots of them are not seen. */
    public void restartWatching() {
        watchedSinceMillis = clock.getAsLong();
        earlierVersions = service -> Optional.empty();
    }

    /** Returns since when the targets have been followed without a gap. */
    public long watchedSinceMillis() {
        return watchedSinceMillis;
    }

    /** Records which versions may have begun streams before the targets were followed. */
    public void learnEarlierVersions(ServiceVersions earlier) {
        earlierVersions = earlier;
        listeners.forEach(Listener::versionsLearned);
    }

    /** Records the version that has begun a stream; returns whether that is new. */
    public boolean record(StreamOrigin origin) {
        long nowMillis = clock.getAsLong();
        Entry previous = byStreamId.get(origin.streamId());
        if (previous != null && nowMillis - previous.recordedMillis() < RETENTION_MILLIS) {
            return false;
        }
        byStreamId.remove(origin.streamId());
        byStreamId.put(origin.streamId(), new Entry(origin, nowMillis));
        removeExpired(nowMillis);
        listeners.forEach(listener -> listener.recorded(origin));
        return true;
    }

    /** Records that a target of the service with this software version is gone or was replaced. */
    public void recordGone(String service, String softwareVersion) {
        goneMillisByVersion.computeIfAbsent(service, name -> new HashMap<>()).put(softwareVersion, clock.getAsLong());
    }

    /** Returns the origin of a stream, if this node has a record of it. */
    public Optional<StreamOrigin> find(String streamId) {
        return Optional.ofNullable(byStreamId.get(streamId))
                .filter(entry -> clock.getAsLong() - entry.recordedMillis() < RETENTION_MILLIS)
                .map(Entry::origin);
    }

    /** Returns the software version that a stream of the service needs, if it is certain. */
    public Optional<String> softwareVersionOf(String streamId, String service) {
        Optional<StreamOrigin> origin = find(streamId);
        if (origin.isPresent()) {
            return origin.filter(known -> known.service().equals(service)).map(StreamOrigin::softwareVersion);
        }
        return onlyVersionOf(service);
    }

    /** Returns the origins of a service's streams that this node has a record of, oldest first. */
    public List<StreamOrigin> originsOf(String service) {
        long nowMillis = clock.getAsLong();
        return byStreamId.values().stream()
                .filter(entry -> nowMillis - entry.recordedMillis() < RETENTION_MILLIS)
                .map(Entry::origin)
                .filter(origin -> origin.service().equals(service))
                .toList();
    }

    /** Returns the version that must have begun each stream of the service that can still be resumed, if there is one. */
    public Optional<String> onlyVersionOf(String service) {
        return recentVersionsOf(service)
                .filter(recent -> recent.size() == 1)
                .flatMap(recent -> recent.stream().findFirst());
    }

    /** Returns all versions that may have begun streams that can still be resumed; empty if some may be unknown. */
    public Optional<Set<String>> recentVersionsOf(String service) {
        long nowMillis = clock.getAsLong();
        Optional<Set<String>> current = versions.versionsOf(service);
        Optional<Set<String>> earlier = nowMillis - watchedSinceMillis < RETENTION_MILLIS
                ? earlierVersions.versionsOf(service)
                : Optional.of(Set.of());
        if (current.isEmpty() || earlier.isEmpty()) {
            return Optional.empty();
        }
        Set<String> recent = new HashSet<>(current.get());
        recent.addAll(earlier.get());
        goneMillisByVersion.getOrDefault(service, Map.of()).forEach((version, goneMillis) -> {
            if (nowMillis - goneMillis < RETENTION_MILLIS) {
                recent.add(version);
            }
        });
        return Optional.of(recent);
    }

    private void removeExpired(long nowMillis) {
        Iterator<Entry> oldestFirst = byStreamId.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry oldest = oldestFirst.next();
            if (byStreamId.size() <= MAX_STREAM_COUNT && nowMillis - oldest.recordedMillis() < RETENTION_MILLIS) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
