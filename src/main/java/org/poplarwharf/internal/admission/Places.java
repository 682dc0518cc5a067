package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The places that are taken, by grant and by target.
 *
 * <p>Invariant: the count of a target is the number of its grants. Belongs to the control thread.
 */
final class Places {
    private final Map<String, Taken> byGrant = new HashMap<>();
    private final Map<String, List<Taken>> byTarget = new HashMap<>();
    private final Map<String, List<Taken>> byFingerprint = new HashMap<>();

    /**
     * A place in use.
     *
     * @param quarantined whether the fingerprint was a suspect when the place was granted
     * @param expiresAtMillis monotonic time at which it is freed even if nobody gives it back
     */
    record Taken(
            String grantId,
            String nodeId,
            String target,
            ArtifactId artifact,
            String requestClass,
            int priority,
            String fingerprint,
            boolean quarantined,
            long expiresAtMillis) {}

    void take(Taken taken) {
        byGrant.put(taken.grantId(), taken);
        add(byTarget, taken.target(), taken);
        add(byFingerprint, taken.fingerprint(), taken);
    }

    Optional<Taken> free(String grantId) {
        Taken taken = byGrant.remove(grantId);
        if (taken == null) {
            return Optional.empty();
        }
        remove(byTarget, taken.target(), taken);
        remove(byFingerprint, taken.fingerprint(), taken);
        return Optional.of(taken);
    }

    List<Taken> ofTarget(String target) {
        return List.copyOf(byTarget.getOrDefault(target, List.of()));
    }

    int inFlight(String target) {
        return byTarget.getOrDefault(target, List.of()).size();
    }

    /** Tells whether a suspect is in flight at a target. */
    boolean hasQuarantined(String target) {
        return byTarget.getOrDefault(target, List.of()).stream().anyMatch(Taken::quarantined);
    }

    /** Returns the target on which a fingerprint is in flight. */
    Optional<String> targetOf(String fingerprint) {
        return byFingerprint.getOrDefault(fingerprint, List.of()).stream()
                .map(Taken::target)
                .findFirst();
    }

    private static void add(Map<String, List<Taken>> index, String key, Taken taken) {
        index.computeIfAbsent(key, absent -> new ArrayList<>()).add(taken);
    }

    private static void remove(Map<String, List<Taken>> index, String key, Taken taken) {
        List<Taken> list = index.get(key);
        list.remove(taken);
        if (list.isEmpty()) {
            index.remove(key);
        }
    }

    Collection<Taken> all() {
        return List.copyOf(byGrant.values());
    }

    int size() {
        return byGrant.size();
    }
}
