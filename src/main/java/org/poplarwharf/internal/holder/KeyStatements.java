package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.KeysInForce;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Exchanges with other nodes which keys of client accounts are in force, so that a node that can't read the platform's log
 * learns of withdrawn keys through the lease holder, and a holder that can't read it through the other nodes.
 *
 * <p>Invariants: the keys are sent only to a node that has twice stated an older version, since plans arrive within a
 * fraction of a second where the log can be read. A node gets each version once. Confined to the event loop.
 */
final class KeyStatements {
    private static final int STATEMENTS_COUNT = 2;

    /** Interval between two questions to nodes that know a later version, since one response is enough. */
    private static final long QUESTION_INTERVAL_MILLIS = 1_000;

    private final FleetView view;
    private final KeysInForce keysInForce;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<HolderConnections.Connection, Peer> peers = new HashMap<>();
    private long questionMillis = Long.MIN_VALUE / 2;

    private static final class Peer {
        private int olderCount;
        private int laterCount;
        private long sentVersion = -1;
    }

    KeyStatements(FleetView view, KeysInForce keysInForce, MonotonicClock clock, DecisionLog log) {
        this.view = view;
        this.keysInForce = keysInForce;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the latest version of the plan whose keys this node knows; negative if it knows none. */
    long version() {
        return Math.max(planVersion(), keysInForce.version());
    }

    private long planVersion() {
        return view.plan().map(FleetPlan::version).orElse(-1L);
    }

    /** Returns the response of the holder to a node that states its version. */
    Optional<AccountMessage> responseTo(HolderConnections.Connection connection, AccountMessage.PlanHeld held) {
        Peer peer = peers.computeIfAbsent(connection, key -> new Peer());
        peer.olderCount = held.version() < version() ? peer.olderCount + 1 : 0;
        peer.laterCount = held.version() > version() ? peer.laterCount + 1 : 0;
        if (peer.olderCount >= STATEMENTS_COUNT && peer.sentVersion < version()) {
            peer.sentVersion = version();
            return statementFor(held);
        }
        if (peer.laterCount >= STATEMENTS_COUNT && clock.nowMillis() - questionMillis >= QUESTION_INTERVAL_MILLIS) {
            questionMillis = clock.nowMillis();
            return Optional.of(new AccountMessage.PlanHeld(version(), 0));
        }
        return Optional.empty();
    }

    /** Returns the keys that this node knows, for another one that knows an older version. */
    Optional<AccountMessage> statementFor(AccountMessage.PlanHeld held) {
        if (held.version() >= version()) {
            return Optional.empty();
        }
        Set<String> digests = keysInForce.version() > planVersion()
                ? keysInForce.digests()
                : view.plan()
                        .flatMap(FleetPlan::accounts)
                        .map(AccountTable::keyDigests)
                        .orElse(Set.of());
        return Optional.of(new AccountMessage.KeysHeld(version(), digests));
    }

    /** Records the keys that another node has stated. */
    void record(AccountMessage.KeysHeld held) {
        if (held.version() > planVersion() && keysInForce.record(held.version(), held.digests())) {
            log.log(
                    "keys-learned-from-node",
                    "version",
                    held.version(),
                    "planVersion",
                    planVersion(),
                    "keys",
                    held.digests().size());
        }
    }

    void forget(HolderConnections.Connection connection) {
        peers.remove(connection);
    }
}
