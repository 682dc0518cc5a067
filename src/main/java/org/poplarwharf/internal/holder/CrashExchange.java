package org.poplarwharf.internal.holder;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.CrashTopic;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * Shares suspects that have crashed targets with all nodes, since such a request, or another with the same part of a prompt,
 * comes again at any of them.
 *
 * <p>A detected crash takes two paths: through the holder and through the platform's log, which reaches nodes that are cut
 * off from the holder and outlasts all nodes. The holder passes on only the crashes of suspects that are refused, since
 * each crash of a target has up to a hundred innocent requests. Only the holder and nodes without one read the log, so that
 * reads do not grow with the number of nodes.
 *
 * <p>Each node counts the crashes of requests. The crashes and successes of prompt parts are weighed by the holder, which
 * learns of the runs of all nodes, and by a node without one; only crashes of refused parts are on the log.
 *
 * <p>Invariant: a node sends messages only for crashes that are new to it, so that reports do not circulate. Confined to the
 * event loop.
 */
final class CrashExchange implements CrashListener {
    private final CrashHistory history;
    private final CrashTopic topic;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Peers peers;
    private final Set<TargetCrash> recordedHere = new LinkedHashSet<>();

    /** The connections to other nodes. */
    interface Peers {
        /** Returns whether this node holds the lease, so that the other nodes are connected to it. */
        boolean isHolding();

        /** Returns whether a holder, which may be this node, decides for this node. */
        boolean isHolderResponding();

        /** Sends crashes to all connected nodes. */
        void broadcast(List<TargetCrash> crashes);

        /** Tells all connected nodes that a part of a prompt is no longer refused. */
        void broadcastCleared(Suspect.PromptPart part);

        /** Sends crashes to the holder, if this node is connected to it. */
        void reportToHolder(List<TargetCrash> crashes);
    }

    CrashExchange(CrashHistory history, CrashTopic topic, LongSupplier clock, DecisionLog log, Peers peers) {
        this.history = history;
        this.topic = topic;
        this.clock = clock;
        this.log = log;
        this.peers = peers;
    }

    /** Handles crashes that this node has detected. */
    void crashesDetected(List<TargetCrash> crashes) {
        List<TargetCrash> ofRequests = crashes.stream()
                .filter(crash -> crash.suspect() instanceof Suspect.WholeRequest)
                .toList();
        List<TargetCrash> added = learn(weighsPromptParts() ? crashes : ofRequests, "detected");
        record(added.stream().filter(ofRequests::contains).toList());
        if (!peers.isHolding()) {
            List<TargetCrash> reported = crashes.stream()
                    .filter(crash -> crash.suspect() instanceof Suspect.PromptPart || added.contains(crash))
                    .toList();
            peers.reportToHolder(reported);
        }
    }

    private boolean weighsPromptParts() {
        return peers.isHolding() || !peers.isHolderResponding();
    }

    /** Handles crashes that were read from the platform's log. */
    void crashesRead(List<TargetCrash> crashes) {
        passOn(logged(history.addRefused(crashes, clock.getAsLong()), "log"));
    }

    /** Handles what the holder has passed on: crashes of refused suspects, and parts that are no longer refused. */
    void announced(HolderMessage.TargetCrashes announcement) {
        passOn(logged(history.addRefused(announcement.crashes(), clock.getAsLong()), "holder"));
        for (String id : announcement.clearedParts().orElse(List.of())) {
            if (Suspect.fromId(id) instanceof Suspect.PromptPart part) {
                clear(part);
            }
        }
    }

    @Override
    public void crashesReported(List<TargetCrash> crashes) {
        learn(crashes, "other-node");
    }

    private void clear(Suspect.PromptPart part) {
        List<TargetCrash> cleared = history.clear(part);
        cleared.forEach(recordedHere::remove);
        if (!cleared.isEmpty()) {
            log.log("prompt-part-cleared", "suspect", part.id(), "source", "other-node");
        }
    }

    /** Handles a whole response to a request of this node. */
    void requestSucceeded(RequestSuspects suspects) {
        if (!peers.isHolding() && !peers.isHolderResponding()) {
            runSucceeded(suspects);
        }
    }

    @Override
    public void runSucceeded(RequestSuspects suspects) {
        if (!history.hasPromptParts()) {
            return;
        }
        List<TargetCrash> cleared = history.recordSuccess(suspects);
        if (cleared.isEmpty()) {
            return;
        }
        cleared.forEach(recordedHere::remove);
        topic.delete(cleared);
        cleared.stream().map(TargetCrash::suspect).distinct().forEach(suspect -> {
            log.log("prompt-part-cleared", "suspect", suspect.id(), "source", "success");
            if (peers.isHolding() && suspect instanceof Suspect.PromptPart part) {
                peers.broadcastCleared(part);
            }
        });
    }

    /** Records again what this node has recorded, after a restore of the log that may have lost them. */
    void recordAgain() {
        topic.record(recordedHere);
    }

    @Override
    public List<TargetCrash> knownCrashes() {
        return history.crashesOfRefused(history.crashes(), clock.getAsLong());
    }

    /** Forgets crashes of long ago; at the holder, also deletes their records. */
    void removeExpired() {
        List<TargetCrash> expired = history.removeExpired(clock.getAsLong());
        expired.forEach(recordedHere::remove);
        if (peers.isHolding()) {
            topic.delete(expired);
        }
    }

    private List<TargetCrash> learn(List<TargetCrash> crashes, String source) {
        List<TargetCrash> added = logged(history.addAll(crashes, clock.getAsLong()), source);
        List<TargetCrash> refused = passOn(added);
        record(refused.stream()
                .filter(crash -> crash.suspect() instanceof Suspect.PromptPart)
                .toList());
        return added;
    }

    /** Records crashes on the log that are not recorded yet. */
    private void record(List<TargetCrash> crashes) {
        List<TargetCrash> missing =
                crashes.stream().filter(crash -> !recordedHere.contains(crash)).toList();
        topic.record(missing);
        recordedHere.addAll(missing);
    }

    /** Passes on the crashes of refused suspects among those that were added, and returns them. */
    private List<TargetCrash> passOn(List<TargetCrash> added) {
        List<TargetCrash> refused = history.crashesOfRefused(added, clock.getAsLong());
        if (peers.isHolding() && !refused.isEmpty()) {
            peers.broadcast(refused);
        }
        return refused;
    }

    private List<TargetCrash> logged(List<TargetCrash> added, String source) {
        added.stream().filter(this::isWorthLogging).forEach(crash -> log(crash, source));
        return added;
    }

    /** Most parts of prompts that are in flight at a crash are in flight at no other. */
    private boolean isWorthLogging(TargetCrash crash) {
        return crash.suspect() instanceof Suspect.WholeRequest || history.crashCount(crash.suspectId()) > 1;
    }

    private void log(TargetCrash crash, String source) {
        log.log(
                "target-crash-learned",
                "suspect",
                crash.suspectId(),
                "target",
                crash.targetId(),
                "startedAt",
                crash.targetStartedAtMillis(),
                "sentBy",
                crash.nodeId(),
                "ordinal",
                crash.ordinal(),
                "source",
                source,
                "crashes",
                history.crashCount(crash.suspectId()));
    }
}
