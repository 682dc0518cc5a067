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
import org.poplarwharf.internal.allotment.AllotmentPool;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.Allotment;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.internal.gateway.AllotmentGate;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.kernel.DecisionLog;

/**
 * Nodes that acquire units for requests of one account, in virtual time and without a network. A test decides which node is
 * the holder and who reaches it.
 *
 * <p>Confined to one thread.
 */
final class AllotmentNodes {
    static final long WINDOW_MILLIS = 8_000;
    private static final long LINK_MILLIS = 2;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long HOLDER_TIMEOUT_MILLIS = 1_250;

    final VirtualTimer time = new VirtualTimer();
    final List<Node> nodes = new ArrayList<>();
    private final List<Use> uses = new ArrayList<>();
    private Optional<Node> holder = Optional.empty();
    private ClientAccount account;
    private int knownNodeCount;
    private int refusedCount;

    private record Use(long millis, double units) {}

    /** One node. */
    final class Node {
        final AllotmentIssuer issuer;
        private final AllotmentExchange exchange;
        private final HolderConnections.Connection connection = new HolderConnections.Connection(null);
        boolean reachesHolder = true;
        boolean suspended;
        private long heardMillis = Long.MIN_VALUE / 2;

        Node() {
            issuer = new AllotmentIssuer(
                    () -> Optional.of(
                            new AccountTable.Builder().add(account, List.of()).build()),
                    () -> knownNodeCount,
                    time::nowMillis,
                    this::schedule,
                    0);
            exchange = new AllotmentExchange(
                    new AllotmentExchange.HolderPath(this::isHolder, this::isHolderResponding, this::send),
                    issuer,
                    new AccountSettings(false, 5_000, WINDOW_MILLIS, 0.1, 0),
                    time::nowMillis,
                    this::schedule,
                    new AllotmentRecorder(
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
                nodes.forEach(node -> deliver(this, node, node::handleHeartbeat));
                exchange.recordContact(knownNodeCount);
            }
            schedule(HEARTBEAT_MILLIS, this::sendHeartbeats);
        }

        private void handleHeartbeat() {
            heardMillis = time.nowMillis();
            exchange.recordContact(knownNodeCount);
            toHolder(target -> target.issuer.recordHeard(connection));
        }

        private void toHolder(Consumer<Node> action) {
            holder.ifPresent(target -> deliver(this, target, () -> action.accept(target)));
        }

        private void send(HolderMessage message) {
            switch (message) {
                case AccountMessage.AllotmentRequest request -> toHolder(target -> target.respond(this, request));
                case AccountMessage.AllotmentReturn unused ->
                    toHolder(target -> target.issuer.giveBack(unused.account(), unused.units()));
                default -> throw new AssertionError(message);
            }
        }

        private void respond(Node node, AccountMessage.AllotmentRequest request) {
            issuer.recordHeard(node.connection);
            AllotmentPool.Decision decision = issuer.take(request.account(), request.minUnits(), request.wantedUnits());
            AccountMessage.AllotmentGrant grant = switch (decision) {
                case AllotmentPool.Granted granted -> grant(request, granted.units(), 0, 0);
                case AllotmentPool.Unlimited unlimited -> throw new AssertionError("the account is limited");
                case AllotmentPool.Exhausted exhausted ->
                    grant(request, 0, exhausted.availableMillis(), exhausted.retryAfterMillis());
            };
            deliver(this, node, () -> node.exchange.handleGrant(grant));
        }

        private static AccountMessage.AllotmentGrant grant(
                AccountMessage.AllotmentRequest request, double units, long availableMillis, long retryAfterMillis) {
            return new AccountMessage.AllotmentGrant(
                    request.account(), request.number(), units, availableMillis, retryAfterMillis);
        }

        /** A request arrives at this node. */
        void request(double requestUnits) {
            exchange.acquire(account, requestUnits, 5_000, new AllotmentGate.Callback() {
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

    AllotmentNodes(int nodeCount, double perSecond, double burst) {
        setAllotment(perSecond, burst);
        knownNodeCount = nodeCount;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node());
        }
    }

    void setAllotment(double perSecond, double burst) {
        account = new ClientAccount(
                "a", OptionalInt.empty(), Optional.of(new Allotment(Allotment.Unit.TOKENS, perSecond, burst, 1)));
    }

    /** Sets how many nodes the nodes believe that there are; zero if they don't know. */
    void setKnownNodeCount(int count) {
        knownNodeCount = count;
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
