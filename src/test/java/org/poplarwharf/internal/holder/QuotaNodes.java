package org.poplarwharf.internal.holder;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Quota;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.gateway.NodeCountEstimate;
import org.poplarwharf.internal.gateway.QuotaGate;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * Nodes that acquire units for requests of one account, in virtual time and without a network. A test decides which node is
 * the holder and who reaches it.
 *
 * <p>Confined to one thread.
 */
final class QuotaNodes {
    static final long WINDOW_MILLIS = 8_000;
    private static final long LINK_MILLIS = 2;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long HOLDER_TIMEOUT_MILLIS = 1_250;

    final VirtualTimer time = new VirtualTimer();
    final List<Node> nodes = new ArrayList<>();
    private final List<Use> uses = new ArrayList<>();
    private Optional<Node> holder = Optional.empty();
    private ClientAccount account;
    private int refusedCount;

    /** Delays each response of the holder to a request for units. */
    long responseDelayMillis;

    private record Use(long millis, double units) {}

    /** One node. */
    final class Node {
        final QuotaIssuer issuer;
        private final QuotaExchange exchange;
        private final HolderConnections.Connection connection = new HolderConnections.Connection(null);
        boolean reachesHolder = true;
        boolean readsPlan = true;
        boolean suspended;
        private final NodeCountEstimate nodeCount = new NodeCountEstimate();
        private long heardMillis = Long.MIN_VALUE / 2;

        Node() {
            AccountSettings settings = new AccountSettings(false, 5_000, WINDOW_MILLIS, 0.1, 0);
            issuer = new QuotaIssuer(
                    () -> readsPlan
                            ? Optional.of(new AccountTable.Builder()
                                    .add(account, List.of())
                                    .build())
                            : Optional.empty(),
                    nodeCount::count,
                    time::nowMillis,
                    this::schedule,
                    settings::maxDebtUnits);
            exchange = new QuotaExchange(
                    new QuotaExchange.HolderPath(this::isHolder, this::isHolderResponding, this::send),
                    issuer,
                    settings,
                    time::nowMillis,
                    this::schedule,
                    new QuotaRecorder(
                            new GatewayMetrics(new MetricRegistry()),
                            new DecisionLog("n", "z", new PrintStream(OutputStream.nullOutputStream()))));
            issuer.start();
            exchange.start();
            sendHeartbeats();
        }

        /** Tasks that are due while the node is suspended run when it resumes. */
        private void schedule(long delayMillis, Runnable task) {
            time.schedule(delayMillis, () -> {
                if (suspended) {
                    schedule(10, task);
                } else {
                    task.run();
                }
            });
        }

        boolean isHolder() {
            return holder.filter(node -> node == this).isPresent();
        }

        private boolean isHolderResponding() {
            return isHolder() || time.nowMillis() - heardMillis < HOLDER_TIMEOUT_MILLIS;
        }

        private void sendHeartbeats() {
            if (isHolder()) {
                int connectedCount = connectedCount(this);
                nodes.forEach(node -> deliver(this, node, () -> node.handleHeartbeat(connectedCount)));
                recordContact(connectedCount);
            }
            schedule(HEARTBEAT_MILLIS, this::sendHeartbeats);
        }

        private void handleHeartbeat(int connectedCount) {
            heardMillis = time.nowMillis();
            recordContact(connectedCount);
            toHolder(target -> {
                target.nodeCount.recordStatement(nodeCount.count());
                target.issuer.recordHeard(connection);
            });
        }

        private void recordContact(int connectedCount) {
            nodeCount.recordReport(connectedCount, time.nowMillis(), ClientAccounts.NODE_COUNT_HOLD_MILLIS);
            exchange.recordContact(nodeCount.count());
        }

        private void toHolder(Consumer<Node> action) {
            holder.ifPresent(target -> deliver(this, target, () -> action.accept(target)));
        }

        private void send(HolderMessage message) {
            switch (message) {
                case AccountMessage.QuotaRequest request -> toHolder(target -> target.respond(this, request));
                case AccountMessage.QuotaReturn unused ->
                    toHolder(target -> target.issuer.giveBack(unused.account(), unused.units()));
                default -> throw new AssertionError(message);
            }
        }

        private void respond(Node node, AccountMessage.QuotaRequest request) {
            issuer.recordHeard(node.connection);
            AccountMessage.QuotaGrant grant = issuer.respond(request);
            Runnable response = () -> deliver(this, node, () -> node.exchange.handleGrant(grant));
            schedule(responseDelayMillis, response);
        }

        /** A request arrives at this node. */
        QuotaGate.Acquisition request(double requestUnits) {
            return exchange.acquire(account, requestUnits, 5_000, new QuotaGate.Callback() {
                @Override
                public void onAcquired() {
                    uses.add(new Use(time.nowMillis(), requestUnits));
                }

                @Override
                public void onRefused(FailureCode code, String reason, long retryAfterMillis) {
                    refusedCount++;
                }
            });
        }
    }

    QuotaNodes(int nodeCount, double perSecond, double burst) {
        setQuota(perSecond, burst);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node());
        }
    }

    void setQuota(double perSecond, double burst) {
        account = new ClientAccount(
                "a", OptionalInt.empty(), Optional.of(new Quota(Quota.Unit.TOKENS, perSecond, burst, 1)));
    }

    private int connectedCount(Node node) {
        return (int) nodes.stream()
                .filter(other -> other == node || (node.reachesHolder && other.reachesHolder && !other.suspended))
                .count();
    }

    /** Adds a node that has just started. */
    Node addNode() {
        Node node = new Node();
        nodes.add(node);
        return node;
    }

    /** Makes a node the holder, or leaves the nodes without one. */
    void setHolder(Optional<Node> latest) {
        holder = latest;
        latest.ifPresent(node -> node.issuer.leaseClaimed());
    }

    private void deliver(Node from, Node to, Runnable action) {
        if (from != to && from.reachesHolder && to.reachesHolder) {
            to.schedule(LINK_MILLIS, action);
        }
    }

    int refusedCount() {
        return refusedCount;
    }

    /** Returns the units used within a time. */
    double usedUnits(long fromMillis, long toMillis) {
        return uses.stream()
                .filter(use -> use.millis() >= fromMillis && use.millis() < toMillis)
                .mapToDouble(Use::units)
                .sum();
    }

    /** Returns the most units that were used within any window. */
    double maxWindowUnits() {
        double most = 0;
        double sum = 0;
        int first = 0;
        for (Use use : uses) {
            sum += use.units();
            while (uses.get(first).millis() <= use.millis() - WINDOW_MILLIS) {
                sum -= uses.get(first).units();
                first++;
            }
            most = Math.max(most, sum);
        }
        return most;
    }
}
