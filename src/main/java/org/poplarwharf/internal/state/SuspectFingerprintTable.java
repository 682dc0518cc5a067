package org.poplarwharf.internal.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.poplarwharf.internal.state.CellRecord.TargetDied;
import org.poplarwharf.internal.state.CellStateView.SuspectFingerprint;

/**
 * Fingerprints of requests that were running when targets died.
 *
 * <p>Invariants: a death counts once for a fingerprint. A fingerprint is condemned, so that its requests are rejected,
 * once it has {@link #DEATHS_TO_CONDEMN} deaths and was the only suspect in flight at one of them. It stays condemned
 * until this is lifted. At most {@link #MAX_SUSPECTS} fingerprints are kept. Confined to the control thread.
 */
final class SuspectFingerprintTable {
    static final int MAX_SUSPECTS = 10_000;

    private static final int DEATHS_TO_CONDEMN = 2;
    private static final int MAX_DEATH_IDS = 16;

    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /** A suspect and the ids of the deaths counted for it, oldest first. */
    record Entry(SuspectFingerprint suspect, List<String> deathIds) {}

    Collection<SuspectFingerprint> all() {
        return entries.values().stream().map(Entry::suspect).toList();
    }

    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    void restore(List<Entry> restored) {
        entries.clear();
        restored.forEach(entry -> entries.put(entry.suspect().fingerprint(), entry));
    }

    boolean isCondemned(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry != null && entry.suspect().condemned();
    }

    FoldDecision recordDeath(long offset, TargetDied death) {
        for (String fingerprint : death.fingerprints()) {
            countDeath(offset, fingerprint, death);
        }
        removeOldest();
        return FoldDecision.ACCEPTED;
    }

    private void countDeath(long offset, String fingerprint, TargetDied death) {
        Entry existing = entries.get(fingerprint);
        if (existing == null) {
            int soleDeaths = death.sole() && death.fingerprints().size() == 1 ? 1 : 0;
            SuspectFingerprint suspect = new SuspectFingerprint(fingerprint, 1, soleDeaths, false, offset);
            entries.put(fingerprint, new Entry(suspect, List.of(death.deathId())));
            return;
        }
        if (existing.deathIds().contains(death.deathId())) {
            return;
        }
        SuspectFingerprint previous = existing.suspect();
        int deaths = previous.deaths() + 1;
        int soleDeaths = previous.soleDeaths() + (death.sole() ? 1 : 0);
        boolean condemned = previous.condemned() || (soleDeaths > 0 && deaths >= DEATHS_TO_CONDEMN);
        SuspectFingerprint suspect = new SuspectFingerprint(fingerprint, deaths, soleDeaths, condemned, offset);
        entries.put(fingerprint, new Entry(suspect, appendDeathId(existing.deathIds(), death.deathId())));
    }

    private static List<String> appendDeathId(List<String> deathIds, String added) {
        List<String> all = Stream.concat(deathIds.stream(), Stream.of(added)).toList();
        return all.subList(Math.max(0, all.size() - MAX_DEATH_IDS), all.size());
    }

    FoldDecision lift(String fingerprint) {
        return entries.remove(fingerprint) == null
                ? FoldDecision.rejected("the fingerprint is not suspected")
                : FoldDecision.ACCEPTED;
    }

    private void removeOldest() {
        while (entries.size() > MAX_SUSPECTS) {
            SuspectFingerprint oldest = all().stream()
                    .min(Comparator.comparing(SuspectFingerprint::condemned)
                            .thenComparing(SuspectFingerprint::lastOffset))
                    .orElseThrow();
            entries.remove(oldest.fingerprint());
        }
    }
}
