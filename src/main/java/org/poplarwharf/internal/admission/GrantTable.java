package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The active grants, indexed by grant id, target and fingerprint.
 *
 * <p>Invariant: the in-flight count of a target is the number of its grants. Confined to the control thread.
 */
final class GrantTable {
    private final Map<String, ActiveGrant> byGrantId = new HashMap<>();
    private final Map<String, List<ActiveGrant>> byTarget = new HashMap<>();
    private final Map<String, List<ActiveGrant>> byFingerprint = new HashMap<>();

    /**
     * A grant that has not been released.
     *
     * @param quarantined whether the fingerprint was a suspect when the grant was issued
     * @param expiresAtMillis monotonic time at which the grant is released even without a completion message
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

    void put(ActiveGrant grant) {
        byGrantId.put(grant.grantId(), grant);
        addToIndex(byTarget, grant.target(), grant);
        addToIndex(byFingerprint, grant.fingerprint(), grant);
    }

    Optional<ActiveGrant> removeGrant(String grantId) {
        ActiveGrant grant = byGrantId.remove(grantId);
        if (grant == null) {
            return Optional.empty();
        }
        removeFromIndex(byTarget, grant.target(), grant);
        removeFromIndex(byFingerprint, grant.fingerprint(), grant);
        return Optional.of(grant);
    }

    List<ActiveGrant> grantsOfTarget(String target) {
        return List.copyOf(byTarget.getOrDefault(target, List.of()));
    }

    int inFlightCount(String target) {
        return byTarget.getOrDefault(target, List.of()).size();
    }

    /** Returns whether a suspect is in flight on a target. */
    boolean hasQuarantinedGrant(String target) {
        return byTarget.getOrDefault(target, List.of()).stream().anyMatch(ActiveGrant::quarantined);
    }

    /** Returns a target on which a fingerprint is in flight, or empty if there is none. */
    Optional<String> findTarget(String fingerprint) {
        return byFingerprint.getOrDefault(fingerprint, List.of()).stream()
                .map(ActiveGrant::target)
                .findFirst();
    }

    private static void addToIndex(Map<String, List<ActiveGrant>> index, String key, ActiveGrant grant) {
        index.computeIfAbsent(key, missingKey -> new ArrayList<>()).add(grant);
    }

    private static void removeFromIndex(Map<String, List<ActiveGrant>> index, String key, ActiveGrant grant) {
        List<ActiveGrant> grants = index.get(key);
        grants.remove(grant);
        if (grants.isEmpty()) {
            index.remove(key);
        }
    }

    Collection<ActiveGrant> grants() {
        return List.copyOf(byGrantId.values());
    }

    int size() {
        return byGrantId.size();
    }
}
