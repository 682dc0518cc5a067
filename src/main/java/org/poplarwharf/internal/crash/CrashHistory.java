package org.poplarwharf.internal.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The crashes of targets by the requests that were in flight, and the requests that are refused for them.
 *
 * <p>Invariants: a request is refused once two incarnations of targets have crashed while they ran it, in whichever
 * order the crashes become known; a crash that arrives more than once counts once. Copies of a request that several nodes
 * have in flight at a crash count for each node, because the nodes cannot tell that crash from two. Bounded: the request
 * that has been unchanged for longest is removed first. Confined to one thread; the current time is passed with each call.
 */
public final class CrashHistory {
    /** One crash may be a coincidence: up to a hundred other requests are in flight at the same target. */
    private static final int REFUSAL_CRASH_COUNT = 2;

    /** Long enough that a caller that repeats its request persistently crashes a target only rarely. */
    static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_FINGERPRINT_COUNT = 10_000;

    private final Map<String, Entry> byFingerprint = new LinkedHashMap<>();

    private static final class Entry {
        private final Map<TargetCrash, Long> recordedMillis = new HashMap<>();
        private long latestMillis;
    }

    /**
     * Returns the crash of a target under a request of a node. It is one that is known already, unless the request was
     * sent after that became known.
     */
    TargetCrash crashOf(
            String fingerprint, String targetId, long targetStartedAtMillis, String nodeId, long sentMillis) {
        Map<TargetCrash, Long> known = Optional.ofNullable(byFingerprint.get(fingerprint))
                .map(entry -> entry.recordedMillis)
                .orElse(Map.of());
        TargetCrash crash = new TargetCrash(fingerprint, targetId, targetStartedAtMillis, nodeId, 0);
        while (known.getOrDefault(crash, Long.MAX_VALUE) < sentMillis) {
            crash = new TargetCrash(fingerprint, targetId, targetStartedAtMillis, nodeId, crash.ordinal() + 1);
        }
        return crash;
    }

    /** Records crashes and returns those that were not known. */
    public List<TargetCrash> addAll(List<TargetCrash> crashes, long nowMillis) {
        List<TargetCrash> added = new ArrayList<>();
        for (TargetCrash crash : crashes) {
            Entry entry = byFingerprint.getOrDefault(crash.fingerprint(), new Entry());
            if (entry.recordedMillis.putIfAbsent(crash, nowMillis) != null) {
                continue;
            }
            entry.latestMillis = nowMillis;
            byFingerprint.remove(crash.fingerprint());
            byFingerprint.put(crash.fingerprint(), entry);
            added.add(crash);
        }
        while (byFingerprint.size() > MAX_FINGERPRINT_COUNT) {
            byFingerprint.remove(byFingerprint.keySet().iterator().next());
        }
        return added;
    }

    /** Returns how much longer a request is refused, or empty if it may run. */
    public OptionalLong refusalMillis(String fingerprint, long nowMillis) {
        Entry entry = byFingerprint.get(fingerprint);
        if (entry == null || entry.recordedMillis.size() < REFUSAL_CRASH_COUNT) {
            return OptionalLong.empty();
        }
        long remainingMillis = entry.latestMillis + RETENTION_MILLIS - nowMillis;
        return remainingMillis > 0 ? OptionalLong.of(remainingMillis) : OptionalLong.empty();
    }

    /** Returns the number of crashes that are known of a request. */
    public int crashCount(String fingerprint) {
        Entry entry = byFingerprint.get(fingerprint);
        return entry == null ? 0 : entry.recordedMillis.size();
    }

    /** Returns all known crashes. */
    public List<TargetCrash> crashes() {
        return byFingerprint.values().stream()
                .flatMap(entry -> entry.recordedMillis.keySet().stream())
                .toList();
    }

    /** Returns all crashes of those requests among the given ones that are refused. */
    public List<TargetCrash> crashesOfRefused(List<TargetCrash> crashes, long nowMillis) {
        return crashes.stream()
                .map(TargetCrash::fingerprint)
                .distinct()
                .filter(fingerprint -> refusalMillis(fingerprint, nowMillis).isPresent())
                .flatMap(fingerprint -> byFingerprint.get(fingerprint).recordedMillis.keySet().stream())
                .toList();
    }

    /** Removes the crashes of requests without a recent crash, and returns them. */
    public List<TargetCrash> removeExpired(long nowMillis) {
        List<TargetCrash> expired = new ArrayList<>();
        byFingerprint.values().removeIf(entry -> {
            boolean isExpired = entry.latestMillis + RETENTION_MILLIS <= nowMillis;
            if (isExpired) {
                expired.addAll(entry.recordedMillis.keySet());
            }
            return isExpired;
        });
        return expired;
    }
}
