package org.poplarwharf.internal.holder;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.CrashTopic;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * Shares requests that have crashed targets with all nodes, since such a request comes again at any of them.
 *
 * <p>A detected crash takes two paths: through the holder and through the platform's log, which reaches nodes that are cut
 * off from the holder and outlasts all nodes. The holder passes on only the crashes of requests that are refused, since
 * each crash of a target has up to a hundred innocent requests. Only the holder and nodes without one read the log, so that
 * reads do not grow with the number of nodes.
 *
 * <p>Invariant: a node sends messages only for crashes that are new to it, so that reports do not circulate. Confined to the
 * event loop.
 */
final class CrashExchange implements HolderRole.CrashListener {
    private final CrashHistory history;
    private final CrashTopic topic;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Peers peers;
    private final Set<TargetCrash> detectedHere = new LinkedHashSet<>();

    /** The connections to other nodes. */
    interface Peers {
        /** Returns whether this node holds the lease, so that the other nodes are connected to it. */
        boolean isHolding();

        /** Sends crashes to all connected nodes. */
        void broadcast(List<TargetCrash> crashes);

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
        List<TargetCrash> added = learn(crashes, "detected");
        topic.record(added);
        detectedHere.addAll(added);
        if (!peers.isHolding()) {
            peers.reportToHolder(added);
        }
    }

    /** Handles crashes that were read from the platform's log. */
    void crashesRead(List<TargetCrash> crashes) {
        learn(crashes, "log");
    }

    @Override
    public void crashesReported(List<TargetCrash> crashes) {
        learn(crashes, "other-node");
    }

    /** Records the crashes that this node has detected again, after a restore of the log that may have lost them. */
    void recordAgain() {
        topic.record(detectedHere);
    }

    @Override
    public List<TargetCrash> knownCrashes() {
        return history.crashesOfRefused(history.crashes(), clock.getAsLong());
    }

    /** Forgets crashes of long ago; at the holder, also deletes their records. */
    void removeExpired() {
        List<TargetCrash> expired = history.removeExpired(clock.getAsLong());
        expired.forEach(detectedHere::remove);
        if (peers.isHolding()) {
            topic.delete(expired);
        }
    }

    private List<TargetCrash> learn(List<TargetCrash> crashes, String source) {
        List<TargetCrash> added = history.addAll(crashes, clock.getAsLong());
        for (TargetCrash crash : added) {
            log.log(
                    "target-crash-learned",
                    "fingerprint",
                    crash.fingerprint(),
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
                    history.crashCount(crash.fingerprint()));
        }
        List<TargetCrash> refused = history.crashesOfRefused(added, clock.getAsLong());
        if (peers.isHolding() && !refused.isEmpty()) {
            peers.broadcast(refused);
        }
        return added;
    }
}
