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
final class GrantTable {
    private final Map<String, ActiveGrant> byGrant = new HashMap<>();
    private final Map<String, List<ActiveGrant>> byTarget = new HashMap<>();
    private final Map<String, List<ActiveGrant>> byFingerprint = new HashMap<>();

    /**
     * A place in use.
     *
     * @param quarantined whether the fingerprint was a suspect when the place was granted
     * @param expiresAtMillis monotonic time at which it is freed even if nobody gives it back
     */
    record ActiveGrant(
            String grantId,
            String nodeId,
            String target,
            ArtifactId artifact,
            String requestClass,
            int priority,
            String fingerprint,
            boolean quarantined,
            long expiresAtMillis) {}

    void put(ActiveGrant taken) {
        byGrant.put(taken.grantId(), taken);
        add(byTarget, taken.target(), taken);
        add(byFingerprint, taken.fingerprint(), taken);
    }

    Optional<ActiveGrant> removeGrant(String grantId) {
        ActiveGrant taken = byGrant.remove(grantId);
        if (taken == null) {
            return Optional.empty();
        }
        remove(byTarget, taken.target(), taken);
        remove(byFingerprint, taken.fingerprint(), taken);
        return Optional.of(taken);
    }

    List<ActiveGrant> grantsOfTarget(String target) {
        return List.copyOf(byTarget.getOrDefault(target, List.of()));
    }

    int inFlightCount(String target) {
        return byTarget.getOrDefault(target, List.of()).size();
    }

    /** Tells whether a suspect is in flight at a target. */
    boolean hasQuarantinedGrant(String target) {
        return byTarget.getOrDefault(target, List.of()).stream().anyMatch(ActiveGrant::quarantined);
    }

    /** Returns the target on which a fingerprint is in flight. */
    Optional<String> findTarget(String fingerprint) {
        return byFingerprint.getOrDefault(fingerprint, List.of()).stream()
                .map(ActiveGrant::target)
                .findFirst();
    }

    private static void add(Map<String, List<ActiveGrant>> index, String key, ActiveGrant taken) {
        index.computeIfAbsent(key, absent -> new ArrayList<>()).add(taken);
    }

    private static void remove(Map<String, List<ActiveGrant>> index, String key, ActiveGrant taken) {
        List<ActiveGrant> list = index.get(key);
        list.remove(taken);
        if (list.isEmpty()) {
            index.remove(key);
        }
    }

    Collection<ActiveGrant> grants() {
        return List.copyOf(byGrant.values());
    }

    int size() {
        return byGrant.size();
    }
}
