package org.poplarwharf.internal.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which parts of prompts crash the targets that run them. Such a part never succeeds and is in flight at most crashes;
 * a part that was only in flight succeeds elsewhere as often as others do, and targets also crash without it.
 *
 * <p>Invariants: a success clears a part. A part is guilty only if it has been in flight at crashes at several moments, and
 * if its record since the first of them is improbable for an innocent part, see {@link #chanceOf}. So targets that crash by
 * themselves, even all of them, show nothing. Crashes at about the same time count as one moment, since targets in one
 * failure domain crash together. Confined to one thread; the current time is passed with each call. Bounded by the parts
 * that {@link CrashHistory} keeps, and by the number of services.
 */
final class PromptPartEvidence {
    private static final int GUILTY_MOMENT_COUNT = 3;

    /** The chance at which the record of an innocent part is taken for that of a guilty one. */
    private static final double MAX_CHANCE = 0.00005;

    /** Longer than the connections of targets in one failure domain take to break. */
    private static final long MOMENT_MILLIS = 500;

    private static final int MAX_CRASH_COUNT = 64;

    private final Map<Suspect.PromptPart, PartRecord> byPart = new HashMap<>();
    private final Map<String, ServiceRecord> byService = new HashMap<>();

    /** The crash of one incarnation of a target. */
    private static final class Crash {
        private final long ordinal;
        private final long successCountBefore;
        private int lostRunCount;

        Crash(long ordinal, long successCountBefore) {
            this.ordinal = ordinal;
            this.successCountBefore = successCountBefore;
        }
    }

    private static final class ServiceRecord {
        private final Map<String, Crash> byIncarnation = new LinkedHashMap<>();
        private long crashCount;
        private long successCount;

        Crash crashOf(String incarnation) {
            Crash crash = byIncarnation.computeIfAbsent(incarnation, key -> new Crash(crashCount++, successCount));
            if (byIncarnation.size() > MAX_CRASH_COUNT) {
                byIncarnation.remove(byIncarnation.keySet().iterator().next());
            }
            return crash;
        }

        List<Crash> crashesFrom(long firstOrdinal) {
            return byIncarnation.values().stream()
                    .filter(crash -> crash.ordinal >= firstOrdinal)
                    .toList();
        }
    }

    private static final class PartRecord {
        private final Set<Long> crashOrdinals = new TreeSet<>();
        private int momentCount;
        private long latestMomentMillis;

        void recordCrash(Crash crash, long nowMillis) {
            crashOrdinals.add(crash.ordinal);
            if (crashOrdinals.size() > MAX_CRASH_COUNT) {
                crashOrdinals.remove(crashOrdinals.iterator().next());
            }
            if (momentCount == 0 || nowMillis - latestMomentMillis >= MOMENT_MILLIS) {
                momentCount++;
                latestMomentMillis = nowMillis;
            }
        }
    }

    boolean isEmpty() {
        return byPart.isEmpty();
    }

    /**
     * Records crashes that become known together; those of whole requests tell how many runs were lost.
     *
     * @param reported tell the service of each target; some of them may be known
     * @param added those that were not known
     */
    void recordCrashes(Collection<TargetCrash> reported, Collection<TargetCrash> added, long nowMillis) {
        Map<String, ServiceRecord> serviceByIncarnation = new HashMap<>();
        for (TargetCrash crash : reported) {
            if (crash.suspect() instanceof Suspect.PromptPart part) {
                serviceByIncarnation.put(
                        crash.incarnation(), byService.computeIfAbsent(part.serviceHash(), key -> new ServiceRecord()));
            }
        }
        for (TargetCrash each : added) {
            ServiceRecord service = serviceByIncarnation.get(each.incarnation());
            if (service != null) {
                Crash crash = service.crashOf(each.incarnation());
                switch (each.suspect()) {
                    case Suspect.WholeRequest request -> crash.lostRunCount++;
                    case Suspect.PromptPart part ->
                        byPart.computeIfAbsent(part, key -> new PartRecord()).recordCrash(crash, nowMillis);
                }
            }
        }
    }

    /** Records a whole response to a request with these parts, which clears them. */
    void recordSuccess(List<Suspect.PromptPart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Optional.ofNullable(byService.get(parts.get(0).serviceHash())).ifPresent(service -> service.successCount++);
        parts.forEach(byPart::remove);
    }

    void remove(Suspect.PromptPart part) {
        byPart.remove(part);
    }

    /**
     * Returns whether the evidence suffices to refuse a part. It does not if a part that was in flight at the same crashes
     * and at others explains them.
     */
    boolean isGuilty(Suspect.PromptPart part) {
        PartRecord found = byPart.get(part);
        return found != null && isImprobableByChance(part, found) && !isExplainedByOther(part, found);
    }

    private boolean isImprobableByChance(Suspect.PromptPart part, PartRecord candidate) {
        return candidate.momentCount >= GUILTY_MOMENT_COUNT
                && chanceOf(candidate, byService.get(part.serviceHash())) <= MAX_CHANCE;
    }

    /**
     * Returns how probable the record of a part is if it is innocent: the probability that all its runs were lost, by the
     * share of other runs that were, times the probability that it was in flight at as many of the crashes, by its share of
     * the lost runs. The two are independent.
     */
    private static double chanceOf(PartRecord part, ServiceRecord service) {
        List<Crash> crashes = service.crashesFrom(part.crashOrdinals.iterator().next());
        int ownCount = (int) crashes.stream()
                .filter(crash -> part.crashOrdinals.contains(crash.ordinal))
                .count();
        int lostCount = Math.max(
                ownCount, crashes.stream().mapToInt(crash -> crash.lostRunCount).sum());
        long successCount = service.successCount - crashes.get(0).successCountBefore;
        int otherLostCount = lostCount - ownCount;
        // One more of each keeps the ratio between zero and one while there are few runs.
        double lossRatio = (otherLostCount + 1.0) / (otherLostCount + successCount + 2.0);
        double ownShare = (double) ownCount / lostCount;
        double presenceRatio = crashes.stream()
                .mapToDouble(crash -> 1 - Math.pow(1 - ownShare, Math.max(1, crash.lostRunCount)))
                .average()
                .orElse(1);
        return Math.pow(lossRatio, ownCount) * atLeast(ownCount, crashes.size(), presenceRatio);
    }

    /** Returns the probability of at least some successes in a number of independent trials. */
    private static double atLeast(int successCount, int trialCount, double successRatio) {
        double probability = 0;
        double coefficient = 1;
        for (int missing = 0; missing <= trialCount - successCount; missing++) {
            probability +=
                    coefficient * Math.pow(successRatio, trialCount - missing) * Math.pow(1 - successRatio, missing);
            coefficient *= (double) (trialCount - missing) / (missing + 1);
        }
        return Math.min(1, probability);
    }

    private boolean isExplainedByOther(Suspect.PromptPart part, PartRecord candidate) {
        return byPart.entrySet().stream()
                .filter(other -> other.getKey().serviceHash().equals(part.serviceHash()))
                .filter(other -> isExplainedBy(candidate, other.getValue()))
                .anyMatch(other -> isImprobableByChance(other.getKey(), other.getValue()));
    }

    private static boolean isExplainedBy(PartRecord candidate, PartRecord other) {
        return other.crashOrdinals.size() > candidate.crashOrdinals.size()
                && other.crashOrdinals.containsAll(candidate.crashOrdinals);
    }
}
