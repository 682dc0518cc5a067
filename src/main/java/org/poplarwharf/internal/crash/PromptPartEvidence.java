package org.poplarwharf.internal.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which parts of prompts crash the targets that run them. Such a part never succeeds; a part that was only in
 * flight succeeds elsewhere as often as others do.
 *
 * <p>Invariants: a success clears a part. A part is guilty only if it has been in flight at crashes at several moments and
 * if it is improbable, by the share of runs without it that were lost since the first of them, that all its runs were
 * lost by chance. So targets that crash by themselves, even all of them, show nothing. Crashes at about the same time count as
 * one moment, since targets in one failure domain crash together. Confined to one thread; the current time is passed with
 * each call. Bounded by the parts that {@link CrashHistory} keeps, and by the number of services.
 */
final class PromptPartEvidence {
    private static final int GUILTY_MOMENT_COUNT = 3;

    /** A part is guilty if an innocent one had lost all its runs with at most this probability. */
    private static final double MAX_CHANCE = 0.001;

    /** Longer than the connections of targets in one failure domain take to break. */
    private static final long MOMENT_MILLIS = 500;

    private final Map<Suspect.PromptPart, PartRecord> byPart = new HashMap<>();
    private final Map<String, ServiceRecord> byService = new HashMap<>();

    /** Successful and lost runs of a service. A lost run counts once for each of its parts, which errs to the safe side. */
    private static final class ServiceRecord {
        private long successCount;
        private long lostCount;
    }

    private static final class PartRecord {
        private final Set<String> crashedIncarnations = new HashSet<>();
        private final long successCountBefore;
        private final long lostCountBefore;
        private long ownLostCount;
        private int momentCount;
        private long latestMomentMillis;

        PartRecord(ServiceRecord service) {
            this.successCountBefore = service.successCount;
            this.lostCountBefore = service.lostCount;
        }

        void recordCrash(String incarnation, long nowMillis) {
            crashedIncarnations.add(incarnation);
            ownLostCount++;
            if (momentCount == 0 || nowMillis - latestMomentMillis >= MOMENT_MILLIS) {
                momentCount++;
                latestMomentMillis = nowMillis;
            }
        }
    }

    boolean isEmpty() {
        return byPart.isEmpty();
    }

    /** Records that a part was in flight at a crash of an incarnation of a target. */
    void recordCrash(Suspect.PromptPart part, String incarnation, long nowMillis) {
        ServiceRecord service = byService.computeIfAbsent(part.serviceHash(), key -> new ServiceRecord());
        byPart.computeIfAbsent(part, key -> new PartRecord(service)).recordCrash(incarnation, nowMillis);
        service.lostCount++;
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
        if (candidate.momentCount < GUILTY_MOMENT_COUNT) {
            return false;
        }
        ServiceRecord service = byService.get(part.serviceHash());
        long successCount = service.successCount - candidate.successCountBefore;
        long otherLostCount = service.lostCount - candidate.lostCountBefore - candidate.ownLostCount;
        // One more of each keeps the ratio between zero and one while there are few runs.
        double lossRatio = (otherLostCount + 1.0) / (otherLostCount + successCount + 2.0);
        return Math.pow(lossRatio, candidate.crashedIncarnations.size()) <= MAX_CHANCE;
    }

    private boolean isExplainedByOther(Suspect.PromptPart part, PartRecord candidate) {
        return byPart.entrySet().stream()
                .filter(other -> other.getKey().serviceHash().equals(part.serviceHash()))
                .filter(other -> isExplainedBy(candidate, other.getValue()))
                .anyMatch(other -> isImprobableByChance(other.getKey(), other.getValue()));
    }

    private static boolean isExplainedBy(PartRecord candidate, PartRecord other) {
        return other.crashedIncarnations.size() > candidate.crashedIncarnations.size()
                && other.crashedIncarnations.containsAll(candidate.crashedIncarnations);
    }
}
