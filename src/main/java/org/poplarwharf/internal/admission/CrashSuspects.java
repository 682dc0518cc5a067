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
 * Finds the fingerprint that crashes targets, without condemning those that were in flight beside it.
 *
 * <p>A fingerprint that was in flight at a death is a suspect. Suspects run one at a time on a target, so that a
 * death among them names its cause. Deaths may become known in another order than they happened. A fingerprint that has never been answered runs on one target at a time, so that copies sent
 * together can't take several targets down at once.
 *
 * <p>Invariant: what this node saw is counted at once; the folded state adds what other holders saw. Bounded. Belongs to
 * the control thread.
 */
final class CrashSuspects {
    private static final int DEATHS_TO_CONDEMN = 2;
    private static final int MAX_SUSPECTS = 10_000;
    private static final int MAX_PROVEN = 50_000;

    private final CellStateView state;
    private final Map<String, Set<String>> deathsByFingerprint = bounded(MAX_SUSPECTS);
    private final Map<String, Boolean> soleDeaths = bounded(MAX_SUSPECTS);
    private final Set<String> condemnedHere = new HashSet<>();
    private final Map<String, Boolean> hasBeenAnswered = bounded(MAX_PROVEN);
    private final Map<String, List<GrantTable.ActiveGrant>> inDoubtByTarget = new HashMap<>();

    CrashSuspects(CellStateView state) {
        this.state = state;
    }

    boolean isCondemned(String fingerprint) {
        return condemnedHere.contains(fingerprint) || state.condemned(fingerprint);
    }

    boolean isSuspect(String fingerprint) {
        if (deathsByFingerprint.containsKey(fingerprint) || inDoubt(fingerprint)) {
            return true;
        }
        return state.suspects().stream().anyMatch(s -> s.fingerprint().equals(fingerprint));
    }

    /** Tells whether a further run could be the death of a third target before the fate of an earlier one is known. */
    boolean mustWait(String fingerprint) {
        long doubts = inDoubtByTarget.values().stream()
                .filter(lost ->
                        lost.stream().anyMatch(taken -> taken.fingerprint().equals(fingerprint)))
                .count();
        int deaths = deathsByFingerprint.getOrDefault(fingerprint, Set.of()).size();
        return doubts > 0 && doubts + deaths >= DEATHS_TO_CONDEMN;
    }

    boolean hasBeenAnswered(String fingerprint) {
        return hasBeenAnswered.containsKey(fingerprint);
    }

    /** Tells whether a target's connection was lost and it is not yet known whether it died. */
    boolean isTargetInDoubt(String target) {
        return inDoubtByTarget.containsKey(target);
    }

    private boolean inDoubt(String fingerprint) {
        for (List<GrantTable.ActiveGrant> lost : inDoubtByTarget.values()) {
            if (lost.stream().anyMatch(taken -> taken.fingerprint().equals(fingerprint))) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the answer cleared a suspect. */
    boolean recordAnswer(GrantTable.ActiveGrant taken) {
        hasBeenAnswered.put(taken.fingerprint(), true);
        if (taken.quarantined()) {
            soleDeaths.remove(taken.fingerprint());
        }
        return taken.quarantined() && deathsByFingerprint.remove(taken.fingerprint()) != null;
    }

    void recordConnectionLoss(GrantTable.ActiveGrant taken) {
        inDoubtByTarget
                .computeIfAbsent(taken.target(), target -> new ArrayList<>())
                .add(taken);
    }

    void recordTargetAlive(String target) {
        inDoubtByTarget.remove(target);
    }

    TargetDeathReport recordTargetDeath(String target, String deathId, List<GrantTable.ActiveGrant> inFlight) {
        List<GrantTable.ActiveGrant> present = new ArrayList<>(inFlight);
        List<GrantTable.ActiveGrant> lost = inDoubtByTarget.remove(target);
        if (lost != null) {
            present.addAll(lost);
        }
        Set<String> quarantined = new HashSet<>();
        Set<String> all = new HashSet<>();
        for (GrantTable.ActiveGrant taken : present) {
            all.add(taken.fingerprint());
            if (taken.quarantined()) {
                quarantined.add(taken.fingerprint());
            }
        }
        boolean sole = quarantined.size() == 1;
        for (String fingerprint : all) {
            count(fingerprint, deathId, sole && quarantined.contains(fingerprint));
        }
        return report(all, sole ? quarantined : Set.of());
    }

    private void count(String fingerprint, String deathId, boolean sole) {
        hasBeenAnswered.remove(fingerprint);
        Set<String> deaths = deathsByFingerprint.computeIfAbsent(fingerprint, absent -> new HashSet<>());
        deaths.add(deathId);
        if (sole) {
            soleDeaths.put(fingerprint, true);
        }
        if (soleDeaths.containsKey(fingerprint) && deaths.size() >= DEATHS_TO_CONDEMN) {
            condemnedHere.add(fingerprint);
        }
    }

    private static TargetDeathReport report(Set<String> all, Set<String> sole) {
        List<String> others =
                all.stream().filter(f -> !sole.contains(f)).sorted().toList();
        return new TargetDeathReport(sole.stream().sorted().toList(), others);
    }

    /** An operator lifted the condemnation, or a later answer cleared the fingerprint. */
    void clear(String fingerprint) {
        condemnedHere.remove(fingerprint);
        soleDeaths.remove(fingerprint);
        deathsByFingerprint.remove(fingerprint);
    }

    private static <V> Map<String, V> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
