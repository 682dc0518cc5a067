package org.poplarwharf.internal.holder;

import java.util.Optional;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.gateway.KeysInForce;
import org.poplarwharf.internal.gateway.NodeCountEstimate;
import org.poplarwharf.internal.gateway.QuotaGate;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * What a node does for client accounts beyond its own requests: it exchanges units of quotas and statements of keys with
 * the lease holder, or with the other nodes while it is the holder.
 *
 * <p>Invariant: sends nothing while the plan has no accounts. Confined to the event loop.
 */
final class ClientAccounts implements HolderConnections.Handler {
    /** A node that is cut off from the holder keeps its share, so the others' shares must not grow meanwhile. */
    static final long NODE_COUNT_HOLD_MILLIS = 15_000;

    private final FleetView view;
    private final HolderRole holderRole;
    private final EngineTargetSelector holderPath;
    private final MonotonicClock clock;
    private final NodeCountEstimate nodeCount = new NodeCountEstimate();
    private final QuotaIssuer issuer;
    private final QuotaExchange exchange;
    private final KeyStatements keys;

    ClientAccounts(
            AccountSettings settings,
            FleetView view,
            KeysInForce keysInForce,
            HolderRole holderRole,
            EngineTargetSelector holderPath,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            GatewayMetrics metrics,
            DecisionLog log) {
        this.view = view;
        this.holderRole = holderRole;
        this.holderPath = holderPath;
        this.clock = clock;
        this.keys = new KeyStatements(view, keysInForce, clock, log);
        this.issuer = new QuotaIssuer(this::accounts, nodeCount::count, clock, timer, settings::maxDebtUnits);
        this.exchange = new QuotaExchange(
                new QuotaExchange.HolderPath(holderRole::isHolding, holderPath::isHolderResponding, holderPath::send),
                issuer,
                settings,
                clock,
                timer,
                new QuotaRecorder(metrics, log));
    }

    private Optional<AccountTable> accounts() {
        return view.plan().flatMap(FleetPlan::accounts);
    }

    void start() {
        issuer.start();
        exchange.start();
    }

    /** Returns the gate for the requests of this node. */
    QuotaGate gate() {
        return exchange;
    }

    /** Starts to hand out units, after this node has acquired the lease. */
    void leaseClaimed() {
        issuer.leaseClaimed();
    }

    /** Records the number of nodes that the holder, which may be this node, is connected to. */
    void recordNodeCount(int count) {
        nodeCount.recordReport(count, clock.nowMillis(), NODE_COUNT_HOLD_MILLIS);
        if (!holderPath.isHolderResponding()) {
            return;
        }
        exchange.recordContact(nodeCount.count());
        if (!holderRole.isHolding() && accounts().isPresent()) {
            holderPath.send(new AccountMessage.PlanHeld(keys.version(), nodeCount.count()));
        }
    }

    /** Handles a message of the holder that this node follows. */
    void receivedFromHolder(AccountMessage message) {
        switch (message) {
            case AccountMessage.QuotaGrant grant -> exchange.handleGrant(grant);
            case AccountMessage.PlanHeld held -> keys.statementFor(held).ifPresent(holderPath::send);
            case AccountMessage.KeysHeld held -> keys.record(held);
            case AccountMessage.QuotaRequest request -> {
                // Only other nodes send it.
            }
            case AccountMessage.QuotaReturn units -> {
                // Only other nodes send it.
            }
        }
    }

    @Override
    public void opened(HolderConnections.Connection connection) {
        holderRole.opened(connection);
    }

    @Override
    public void received(HolderConnections.Connection connection, HolderMessage message) {
        if (message instanceof AccountMessage accountMessage) {
            receivedFromNode(connection, accountMessage);
        } else {
            holderRole.received(connection, message);
        }
    }

    private void receivedFromNode(HolderConnections.Connection connection, AccountMessage message) {
        switch (message) {
            case AccountMessage.QuotaRequest request -> {
                if (holderRole.isHolding()) {
                    issuer.recordHeard(connection);
                    connection.send(issuer.respond(request));
                }
            }
            case AccountMessage.QuotaReturn units -> issuer.giveBack(units.account(), units.units());
            case AccountMessage.PlanHeld held -> {
                nodeCount.recordStatement(held.nodeCount());
                issuer.recordHeard(connection);
                keys.responseTo(connection, held).ifPresent(connection::send);
            }
            case AccountMessage.KeysHeld held -> keys.record(held);
            case AccountMessage.QuotaGrant grant -> connection.close();
        }
    }

    @Override
    public void closed(HolderConnections.Connection connection, boolean endedByPeer) {
        issuer.closed(connection);
        keys.forget(connection);
        holderRole.closed(connection, endedByPeer);
    }
}
