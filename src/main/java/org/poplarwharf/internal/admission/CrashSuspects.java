package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Identifies the fingerprint that crashes targets, without condemning requests that were only in flight at the same
 * time.
 *
 * <p>A fingerprint that was in flight when a target died is a suspect. At most one suspect runs on a target at a
 * time, so that the next death identifies its cause. Deaths may be reported in a different order than they happened.
 * A fingerprint without a response so far runs on one target at a time, so that copies sent together can't crash
 * several targets at once.
 *
 * <p>Invariant: deaths seen by this node count immediately; the folded state adds those seen by other lease holders.
 * Bounded. Confined to the control thread.
 */
final class CrashSuspects {
    private static final int CONDEMNING_DEATH_COUNT = 2;
    private static final int MAX_SUSPECT_COUNT = 10_000;
    private static final int MAX_WITH_RESPONSE_COUNT = 50_000;

    private final CellStateView state;
    private final Map<String, Set<String>> deathsByFingerprint = boundedLruMap(MAX_SUSPECT_COUNT);
    private final Map<String, Boolean> soleSuspectFingerprints = boundedLruMap(MAX_SUSPECT_COUNT);
    private final Set<String> locallyCondemned = new HashSet<>();
    private final Map<String, Boolean> fingerprintsWithResponse = boundedLruMap(MAX_WITH_RESPONSE_COUNT);
    private final Map<String, List<GrantTable.ActiveGrant>> inDoubtGrantsByTarget = new HashMap<>();

    CrashSuspects(CellStateView state) {
        this.state = state;
    }

    boolean isCondemned(String fingerprint) {
        return locallyCondemned.contains(fingerprint) || state.isCondemned(fingerprint);
    }

    boolean isSuspect(String fingerprint) {
        if (deathsByFingerprint.containsKey(fingerprint) || isInDoubt(fingerprint)) {
            return true;
        }
        return state.suspects().stream()
                .anyMatch(suspect -> suspect.fingerprint().equals(fingerprint));
    }

    /**
     * Returns whether the fingerprint must wait until it is known if its targets in doubt have died. Running it
     * before could crash a third target.
     */
    boolean mustWait(String fingerprint) {
        long inDoubtCount = inDoubtGrantsByTarget.values().stream()
                .filter(lost ->
                        lost.stream().anyMatch(grant -> grant.fingerprint().equals(fingerprint)))
                .count();
        int deathCount = deathsByFingerprint.getOrDefault(fingerprint, Set.of()).size();
        return inDoubtCount > 0 && inDoubtCount + deathCount >= CONDEMNING_DEATH_COUNT;
    }

    boolean hasReceivedResponse(String fingerprint) {
        return fingerprintsWithResponse.containsKey(fingerprint);
    }

    /** Returns whether the connection to a target was lost and it is not yet known whether the target died. */
    boolean isTargetInDoubt(String target) {
        return inDoubtGrantsByTarget.containsKey(target);
    }

    private boolean isInDoubt(String fingerprint) {
        for (List<GrantTable.ActiveGrant> lost : inDoubtGrantsByTarget.values()) {
            if (lost.stream().anyMatch(grant -> grant.fingerprint().equals(fingerprint))) {
                return true;
            }
        }
        return false;
    }

    /** Records that a request received a response. Returns whether the response cleared a suspect. */
    boolean recordResponse(GrantTable.ActiveGrant grant) {
        fingerprintsWithResponse.put(grant.fingerprint(), true);
        if (grant.quarantined()) {
            soleSuspectFingerprints.remove(grant.fingerprint());
        }
        return grant.quarantined() && deathsByFingerprint.remove(grant.fingerprint()) != null;
    }

    void recordConnectionLoss(GrantTable.ActiveGrant grant) {
        inDoubtGrantsByTarget
                .computeIfAbsent(grant.target(), target -> new ArrayList<>())
                .add(grant);
    }

    void recordTargetAlive(String target) {
        inDoubtGrantsByTarget.remove(target);
    }

    TargetDeathReport recordTargetDeath(String target, String deathId, List<GrantTable.ActiveGrant> inFlight) {
        List<GrantTable.ActiveGrant> inFlightAtDeath = new ArrayList<>(inFlight);
        List<GrantTable.ActiveGrant> lost = inDoubtGrantsByTarget.remove(target);
        if (lost != null) {
            inFlightAtDeath.addAll(lost);
        }
        Set<String> quarantined = new HashSet<>();
        Set<String> fingerprints = new HashSet<>();
        for (GrantTable.ActiveGrant grant : inFlightAtDeath) {
            fingerprints.add(grant.fingerprint());
            if (grant.quarantined()) {
                quarantined.add(grant.fingerprint());
            }
        }
        boolean isSoleSuspect = quarantined.size() == 1;
        for (String fingerprint : fingerprints) {
            recordDeath(fingerprint, deathId, isSoleSuspect && quarantined.contains(fingerprint));
        }
        return toReport(fingerprints, isSoleSuspect ? quarantined : Set.of());
    }

    private void recordDeath(String fingerprint, String deathId, boolean isSoleSuspect) {
        fingerprintsWithResponse.remove(fingerprint);
        Set<String> deathIds = deathsByFingerprint.computeIfAbsent(fingerprint, key -> new HashSet<>());
        deathIds.add(deathId);
        if (isSoleSuspect) {
            soleSuspectFingerprints.put(fingerprint, true);
        }
        if (soleSuspectFingerprints.containsKey(fingerprint) && deathIds.size() >= CONDEMNING_DEATH_COUNT) {
            locallyCondemned.add(fingerprint);
        }
    }

    private static TargetDeathReport toReport(Set<String> fingerprints, Set<String> soleSuspect) {
        List<String> others = fingerprints.stream()
                .filter(fingerprint -> !soleSuspect.contains(fingerprint))
                .sorted()
                .toList();
        return new TargetDeathReport(soleSuspect.stream().sorted().toList(), others);
    }

    /** Clears a fingerprint, because an operator lifted its condemnation or a later response cleared it. */
    void clear(String fingerprint) {
        locallyCondemned.remove(fingerprint);
        soleSuspectFingerprints.remove(fingerprint);
        deathsByFingerprint.remove(fingerprint);
    }

    private static <V> Map<String, V> boundedLruMap(int maxEntryCount) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxEntryCount;
            }
        };
    }
}
