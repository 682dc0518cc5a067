package org.poplarwharf.internal.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * The crashes of targets by the suspects that were in flight, and the suspects that are refused for them.
 *
 * <p>Invariants: a request is refused once two incarnations of targets have crashed while they ran it, in whichever
 * order the crashes become known; a crash that arrives more than once counts once. Copies of a request that several nodes
 * have in flight at a crash count for each node, because the nodes cannot tell that crash from two. A part of a prompt is
 * refused once {@link PromptPartEvidence} suffices, or once another node has found that. Bounded: the suspect that has been
 * unchanged for longest is removed first. Confined to one thread; the current time is passed with each call.
 */
public final class CrashHistory {
    /** One crash may be a coincidence: up to a hundred other requests are in flight at the same target. */
    private static final int REFUSAL_CRASH_COUNT = 2;

    /** Long enough that a caller that repeats its request persistently crashes a target only rarely. */
    static final long RETENTION_MILLIS = 600_000;

    /** Shorter than for a request, since sound requests may hold the part. */
    static final long PROMPT_PART_REFUSAL_MILLIS = 120_000;

    private static final int MAX_SUSPECT_COUNT = 10_000;

    private final Map<String, Entry> bySuspect = new LinkedHashMap<>();
    private final PromptPartEvidence promptParts = new PromptPartEvidence();
    private int refusedPartCount;

    private static final class Entry {
        private final Map<TargetCrash, Long> recordedMillis = new HashMap<>();
        private long latestMillis;
        private boolean isRefusedPart;
    }

    /** Why a request is refused, and for how much longer. */
    public record Refusal(Suspect suspect, long remainingMillis) {
        /** Returns the reason to state to the caller. */
        public String reason() {
            return switch (suspect) {
                case Suspect.WholeRequest request -> "request crashes targets";
                case Suspect.PromptPart part -> "part of the prompt crashes targets";
            };
        }
    }

    /**
     * Returns the crash of a target under a suspect of a node. It is one that is known already, unless the request was
     * sent after that became known.
     */
    TargetCrash crashOf(String suspectId, String targetId, long targetStartedAtMillis, String nodeId, long sentMillis) {
        Map<TargetCrash, Long> known = Optional.ofNullable(bySuspect.get(suspectId))
                .map(entry -> entry.recordedMillis)
                .orElse(Map.of());
        TargetCrash crash = new TargetCrash(suspectId, targetId, targetStartedAtMillis, nodeId, 0);
        while (known.getOrDefault(crash, Long.MAX_VALUE) < sentMillis) {
            crash = new TargetCrash(suspectId, targetId, targetStartedAtMillis, nodeId, crash.ordinal() + 1);
        }
        return crash;
    }

    /** Records crashes that nodes have detected, and returns those that were not known. */
    public List<TargetCrash> addAll(List<TargetCrash> crashes, long nowMillis) {
        List<TargetCrash> added = new ArrayList<>();
        for (TargetCrash crash : crashes) {
            if (add(crash, nowMillis)) {
                added.add(crash);
            }
        }
        promptParts.recordCrashes(crashes, added, nowMillis);
        added.forEach(this::refuseIfGuilty);
        removeExcess();
        return added;
    }

    /** Records crashes of suspects that another node refuses, and returns those that were not known. */
    public List<TargetCrash> addRefused(List<TargetCrash> crashes, long nowMillis) {
        List<TargetCrash> added = new ArrayList<>();
        for (TargetCrash crash : crashes) {
            if (add(crash, nowMillis)) {
                added.add(crash);
            }
            if (crash.suspect() instanceof Suspect.PromptPart) {
                markRefused(bySuspect.get(crash.suspectId()));
            }
        }
        removeExcess();
        return added;
    }

    private boolean add(TargetCrash crash, long nowMillis) {
        Entry entry = bySuspect.getOrDefault(crash.suspectId(), new Entry());
        if (entry.recordedMillis.putIfAbsent(crash, nowMillis) != null) {
            return false;
        }
        entry.latestMillis = nowMillis;
        bySuspect.remove(crash.suspectId());
        bySuspect.put(crash.suspectId(), entry);
        return true;
    }

    private void refuseIfGuilty(TargetCrash crash) {
        if (crash.suspect() instanceof Suspect.PromptPart part && promptParts.isGuilty(part)) {
            markRefused(bySuspect.get(crash.suspectId()));
        }
    }

    private void markRefused(Entry entry) {
        if (!entry.isRefusedPart) {
            entry.isRefusedPart = true;
            refusedPartCount++;
        }
    }

    private void removeExcess() {
        while (bySuspect.size() > MAX_SUSPECT_COUNT) {
            String eldest = bySuspect.keySet().iterator().next();
            forget(eldest, bySuspect.remove(eldest));
        }
    }

    private void forget(String suspectId, Entry removed) {
        if (removed.isRefusedPart) {
            refusedPartCount--;
        }
        if (Suspect.fromId(suspectId) instanceof Suspect.PromptPart part) {
            promptParts.remove(part);
        }
    }

    /**
     * Records that a request was answered in full, which clears the parts of its prompt.
     *
     * @return the crashes of those among them that were refused
     */
    public List<TargetCrash> recordSuccess(RequestSuspects suspects) {
        List<Suspect.PromptPart> parts = suspects.promptParts();
        promptParts.recordSuccess(parts);
        List<TargetCrash> refused = new ArrayList<>();
        for (Suspect.PromptPart part : parts) {
            refused.addAll(clear(part));
        }
        return refused;
    }

    /** Forgets a part of a prompt. Returns its crashes if it was refused. */
    public List<TargetCrash> clear(Suspect.PromptPart part) {
        Entry entry = bySuspect.remove(part.id());
        if (entry == null) {
            return List.of();
        }
        forget(part.id(), entry);
        return entry.isRefusedPart ? List.copyOf(entry.recordedMillis.keySet()) : List.of();
    }

    /** Returns whether any part of a prompt has crashes, so that successes matter. */
    public boolean hasPromptParts() {
        return refusedPartCount > 0 || !promptParts.isEmpty();
    }

    /** Returns how much longer a request is refused as a whole, or empty if it may run. */
    public OptionalLong refusalMillis(String fingerprint, long nowMillis) {
        return refusal(new Suspect.WholeRequest(fingerprint), nowMillis).stream()
                .mapToLong(Refusal::remainingMillis)
                .findFirst();
    }

    /** Returns whether and why a request is refused, as a whole or for a part of its prompt. */
    public Optional<Refusal> refusal(RequestSuspects suspects, long nowMillis) {
        Optional<Refusal> ofRequest = refusal(suspects.wholeRequest(), nowMillis);
        if (ofRequest.isPresent() || refusedPartCount == 0) {
            return ofRequest;
        }
        return suspects.promptParts().stream()
                .flatMap(part -> refusal(part, nowMillis).stream())
                .findFirst();
    }

    private Optional<Refusal> refusal(Suspect suspect, long nowMillis) {
        Entry entry = bySuspect.get(suspect.id());
        if (entry == null) {
            return Optional.empty();
        }
        long durationMillis = switch (suspect) {
            case Suspect.WholeRequest request ->
                entry.recordedMillis.size() < REFUSAL_CRASH_COUNT ? 0 : RETENTION_MILLIS;
            case Suspect.PromptPart part -> entry.isRefusedPart ? PROMPT_PART_REFUSAL_MILLIS : 0;
        };
        long remainingMillis = entry.latestMillis + durationMillis - nowMillis;
        return remainingMillis > 0 ? Optional.of(new Refusal(suspect, remainingMillis)) : Optional.empty();
    }

    /** Returns the number of crashes that are known of a suspect. */
    public int crashCount(String suspectId) {
        Entry entry = bySuspect.get(suspectId);
        return entry == null ? 0 : entry.recordedMillis.size();
    }

    /** Returns all known crashes. */
    public List<TargetCrash> crashes() {
        return bySuspect.values().stream()
                .flatMap(entry -> entry.recordedMillis.keySet().stream())
                .toList();
    }

    /**
     * Returns the crashes that show other nodes which of the given suspects are refused: all of a request, which each node
     * counts itself, and the latest of a part of a prompt.
     */
    public List<TargetCrash> crashesOfRefused(List<TargetCrash> crashes, long nowMillis) {
        return crashes.stream()
                .map(TargetCrash::suspect)
                .distinct()
                .filter(suspect -> refusal(suspect, nowMillis).isPresent())
                .flatMap(this::sharedCrashes)
                .toList();
    }

    private Stream<TargetCrash> sharedCrashes(Suspect suspect) {
        Map<TargetCrash, Long> recordedMillis = bySuspect.get(suspect.id()).recordedMillis;
        return switch (suspect) {
            case Suspect.WholeRequest request -> recordedMillis.keySet().stream();
            case Suspect.PromptPart part ->
                recordedMillis.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).stream();
        };
    }

    /** Removes the crashes of suspects without a recent crash, and returns those that may be on the log. */
    public List<TargetCrash> removeExpired(long nowMillis) {
        List<TargetCrash> expired = new ArrayList<>();
        bySuspect.entrySet().removeIf(each -> {
            Entry entry = each.getValue();
            boolean isExpired = entry.latestMillis + RETENTION_MILLIS <= nowMillis;
            if (isExpired) {
                if (entry.isRefusedPart || Suspect.fromId(each.getKey()) instanceof Suspect.WholeRequest) {
                    expired.addAll(entry.recordedMillis.keySet());
                }
                forget(each.getKey(), entry);
            }
            return isExpired;
        });
        return expired;
    }
}
