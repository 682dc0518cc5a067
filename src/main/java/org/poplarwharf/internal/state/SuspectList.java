package org.poplarwharf.internal.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.poplarwharf.internal.state.CellRecord.TargetDied;
import org.poplarwharf.internal.state.CellStateView.Suspect;

/**
 * Fingerprints of requests that were running when targets died.
 *
 * <p>Invariants: a death counts once for a fingerprint; a fingerprint is condemned at its second or a later death where
 * it was the only suspect in flight, and stays so until that is lifted; at most {@link #MAX_SUSPECTS} are kept. Belongs
 * to the control thread.
 */
final class SuspectList {
    static final int MAX_SUSPECTS = 10_000;

    private static final int DEATHS_TO_CONDEMN = 2;
    private static final int MAX_DEATH_IDS = 16;

    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /** A suspect with the deaths that were counted for it, the latest last. */
    record Entry(Suspect suspect, List<String> deathIds) {}

    Collection<Suspect> all() {
        return entries.values().stream().map(Entry::suspect).toList();
    }

    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    void restore(List<Entry> restored) {
        entries.clear();
        restored.forEach(entry -> entries.put(entry.suspect().fingerprint(), entry));
    }

    boolean condemned(String fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry != null && entry.suspect().condemned();
    }

    Verdict died(long offset, TargetDied death) {
        for (String fingerprint : death.fingerprints()) {
            count(offset, fingerprint, death);
        }
        dropOldest();
        return Verdict.ACCEPTED;
    }

    private void count(long offset, String fingerprint, TargetDied death) {
        Entry known = entries.get(fingerprint);
        if (known == null) {
            int soleDeaths = death.sole() && death.fingerprints().size() == 1 ? 1 : 0;
            Suspect suspect = new Suspect(fingerprint, 1, soleDeaths, false, offset);
            entries.put(fingerprint, new Entry(suspect, List.of(death.deathId())));
            return;
        }
        if (known.deathIds().contains(death.deathId())) {
            return;
        }
        Suspect before = known.suspect();
        int deaths = before.deaths() + 1;
        int soleDeaths = before.soleDeaths() + (death.sole() ? 1 : 0);
        boolean condemned = before.condemned() || (soleDeaths > 0 && deaths >= DEATHS_TO_CONDEMN);
        Suspect suspect = new Suspect(fingerprint, deaths, soleDeaths, condemned, offset);
        entries.put(fingerprint, new Entry(suspect, latest(known.deathIds(), death.deathId())));
    }

    private static List<String> latest(List<String> deathIds, String added) {
        List<String> all = Stream.concat(deathIds.stream(), Stream.of(added)).toList();
        return all.subList(Math.max(0, all.size() - MAX_DEATH_IDS), all.size());
    }

    Verdict lift(String fingerprint) {
        return entries.remove(fingerprint) == null
                ? Verdict.refused("the fingerprint is not suspected")
                : Verdict.ACCEPTED;
    }

    private void dropOldest() {
        while (entries.size() > MAX_SUSPECTS) {
            Suspect oldest = all().stream()
                    .min(Comparator.comparing(Suspect::condemned).thenComparing(Suspect::lastOffset))
                    .orElseThrow();
            entries.remove(oldest.fingerprint());
        }
    }
}
