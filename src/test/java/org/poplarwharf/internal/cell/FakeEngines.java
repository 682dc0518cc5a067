package org.poplarwharf.internal.cell;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Fake engines that execute every order that arrives, even one that exceeds their memory, so that a test can detect
 * it.
 */
final class FakeEngines {
    final List<PendingOrder> pendingOrders = new ArrayList<>();
    final Map<String, Engine> engines = new TreeMap<>();
    /** Orders whose sender closed the connection, and which may still arrive. */
    final List<PendingOrder> lateOrders = new ArrayList<>();
    /** Reports that were created but have not reached the node yet. */
    final List<Runnable> delayedReports = new ArrayList<>();

    boolean delayReports;

    /** An order that was sent and has not arrived yet. */
    static final class PendingOrder {
        final String address;
        final EngineDialect.Order order;
        final CellNode sender;
        final SettablePromise<EngineDialect.OrderReply> promise = new SettablePromise<>();

        PendingOrder(String address, EngineDialect.Order order, CellNode sender) {
            this.address = address;
            this.order = order;
            this.sender = sender;
        }
    }

    /** An engine process. */
    static final class Engine {
        final boolean fencing;
        final Map<ArtifactId, EngineDialect.HeldArtifact> held = new TreeMap<>();
        int bootCount = 1;
        int runningRequestCount;
        long highestFencingNumber = -1;

        Engine(boolean fencing) {
            this.fencing = fencing;
        }

        EngineDialect.OrderReply apply(EngineDialect.Order order) {
            if (fencing && order.fencingNumber() < highestFencingNumber) {
                return new EngineDialect.OrderReply.Stale(highestFencingNumber);
            }
            highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
            switch (order.kind()) {
                case LOAD -> held.putIfAbsent(order.artifact(), held(order, EngineDialect.ArtifactState.LOADING));
                case UNLOAD -> held.remove(order.artifact());
            }
            return new EngineDialect.OrderReply.Accepted();
        }

        private static EngineDialect.HeldArtifact held(EngineDialect.Order order, EngineDialect.ArtifactState state) {
            return new EngineDialect.HeldArtifact(order.artifact(), order.version(), state, order.sizeBytes(), 0);
        }

        void finishLoads() {
            held.replaceAll((artifact, h) -> new EngineDialect.HeldArtifact(
                    artifact, h.version(), EngineDialect.ArtifactState.LOADED, h.sizeBytes(), 1));
        }

        void restart() {
            bootCount++;
            held.clear();
        }

        long usedBytes() {
            return held.values().stream()
                    .mapToLong(EngineDialect.HeldArtifact::sizeBytes)
                    .sum();
        }
    }

    EngineDialect dialect(CellNode node) {
        return new EngineDialect() {
            @Override
            public Promise<Report> report(String address) {
                Engine engine = engines.get(address);
                Report report = new Report(
                        address + engine.bootCount,
                        List.copyOf(engine.held.values()),
                        engine.runningRequestCount,
                        0,
                        0,
                        engine.usedBytes(),
                        false,
                        List.of());
                if (!delayReports) {
                    return Promise.of(report);
                }
                SettablePromise<Report> promise = new SettablePromise<>();
                delayedReports.add(() -> node.post(() -> promise.set(report)));
                return promise;
            }

            @Override
            public Promise<OrderReply> sendOrder(String address, Order order) {
                PendingOrder pendingOrder = new PendingOrder(address, order, node);
                pendingOrders.add(pendingOrder);
                return pendingOrder.promise;
            }

            @Override
            public HttpRequest completionRequest(String address, CompletionRequest completion) {
                throw new UnsupportedOperationException();
            }
        };
    }

    /** Delivers an order; the reply reaches the sender when it next runs. */
    void deliverOrder(PendingOrder pendingOrder) {
        pendingOrders.remove(pendingOrder);
        EngineDialect.OrderReply orderReply = engines.get(pendingOrder.address).apply(pendingOrder.order);
        pendingOrder.sender.post(() -> reply(pendingOrder, orderReply));
    }

    /** Fails an order at its sender; the order still arrives if {@code arrives} is true. */
    void loseReply(PendingOrder pendingOrder, boolean arrives) {
        pendingOrders.remove(pendingOrder);
        if (arrives) {
            engines.get(pendingOrder.address).apply(pendingOrder.order);
        }
        pendingOrder.sender.post(() -> pendingOrder.promise.setException(Reporter.malformedMessage("engine", null)));
    }

    private static void reply(PendingOrder pendingOrder, EngineDialect.OrderReply orderReply) {
        pendingOrder.promise.set(orderReply);
    }

    /**
     * Closes the connection of an order at its sender; the order may still arrive at the current process of the
     * engine.
     */
    void closeConnection(PendingOrder pendingOrder) {
        loseReply(pendingOrder, false);
        lateOrders.add(pendingOrder);
    }

    void deliverLateOrder(PendingOrder pendingOrder) {
        lateOrders.remove(pendingOrder);
        engines.get(pendingOrder.address).apply(pendingOrder.order);
    }

    void deliverDelayedReports() {
        List<Runnable> due = List.copyOf(delayedReports);
        delayedReports.clear();
        due.forEach(Runnable::run);
    }

    /** Restarts an engine, which also drops the late orders on its connections. */
    void restart(String address) {
        lateOrders.removeIf(pendingOrder -> pendingOrder.address.equals(address));
        engines.get(address).restart();
    }

    long replicaCount(ArtifactId artifact) {
        return engines.values().stream()
                .filter(engine -> engine.held.containsKey(artifact))
                .count();
    }
}
