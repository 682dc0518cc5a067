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

/** Engines that obey every order that arrives, even one that overcommits them, and note the worst that they held. */
final class FakeEngines {
    final List<Wire> wires = new ArrayList<>();
    final Map<String, Engine> engines = new TreeMap<>();
    /** Orders whose sender has given up and that may arrive all the same. */
    final List<Wire> late = new ArrayList<>();
    /** Reports that were made and have not reached their reader. */
    final List<Runnable> lateReports = new ArrayList<>();

    boolean holdReports;

    /** One order between its sending and its arrival. */
    static final class Wire {
        final String address;
        final EngineDialect.Order order;
        final CellNode sender;
        final SettablePromise<EngineDialect.OrderReply> promise = new SettablePromise<>();

        Wire(String address, EngineDialect.Order order, CellNode sender) {
            this.address = address;
            this.order = order;
            this.sender = sender;
        }
    }

    /** One engine process. */
    static final class Engine {
        final boolean fencing;
        final Map<ArtifactId, EngineDialect.Held> held = new TreeMap<>();
        int boot = 1;
        int running;
        long highest = -1;

        Engine(boolean fencing) {
            this.fencing = fencing;
        }

        EngineDialect.OrderReply apply(EngineDialect.Order order) {
            if (fencing && order.fencingNumber() < highest) {
                return new EngineDialect.OrderReply.Stale(highest);
            }
            highest = Math.max(highest, order.fencingNumber());
            switch (order.kind()) {
                case LOAD -> held.putIfAbsent(order.artifact(), held(order, EngineDialect.ArtifactState.LOADING));
                case UNLOAD -> held.remove(order.artifact());
            }
            return new EngineDialect.OrderReply.Accepted();
        }

        private static EngineDialect.Held held(EngineDialect.Order order, EngineDialect.ArtifactState state) {
            return new EngineDialect.Held(order.artifact(), order.version(), state, order.sizeBytes(), 0);
        }

        void finishLoads() {
            held.replaceAll((artifact, h) -> new EngineDialect.Held(
                    artifact, h.version(), EngineDialect.ArtifactState.LOADED, h.sizeBytes(), 1));
        }

        void restart() {
            boot++;
            held.clear();
        }

        long usedBytes() {
            return held.values().stream()
                    .mapToLong(EngineDialect.Held::sizeBytes)
                    .sum();
        }
    }

    EngineDialect dialect(CellNode node) {
        return new EngineDialect() {
            @Override
            public Promise<Report> report(String address) {
                Engine engine = engines.get(address);
                Report report = new Report(
                        address + engine.boot,
                        List.copyOf(engine.held.values()),
                        engine.running,
                        0,
                        0,
                        engine.usedBytes(),
                        false,
                        List.of());
                if (!holdReports) {
                    return Promise.of(report);
                }
                SettablePromise<Report> promise = new SettablePromise<>();
                lateReports.add(() -> node.post(() -> promise.set(report)));
                return promise;
            }

            @Override
            public Promise<OrderReply> send(String address, Order order) {
                Wire wire = new Wire(address, order, node);
                wires.add(wire);
                return wire.promise;
            }

            @Override
            public HttpRequest completion(String address, Completion completion) {
                throw new UnsupportedOperationException();
            }
        };
    }

    /** The order arrives and its answer reaches the sender, once that runs. */
    void deliver(Wire wire) {
        wires.remove(wire);
        EngineDialect.OrderReply reply = engines.get(wire.address).apply(wire.order);
        wire.sender.post(() -> settle(wire, reply));
    }

    /** The sender gives up waiting; the order arrives all the same when {@code arrives}. */
    void loseAnswer(Wire wire, boolean arrives) {
        wires.remove(wire);
        if (arrives) {
            engines.get(wire.address).apply(wire.order);
        }
        wire.sender.post(() -> wire.promise.setException(Reporter.malformedMessage("engine", null)));
    }

    private static void settle(Wire wire, EngineDialect.OrderReply reply) {
        wire.promise.set(reply);
    }

    /** The sender closes its connection; the order may still arrive at this process of the engine. */
    void giveUp(Wire wire) {
        loseAnswer(wire, false);
        late.add(wire);
    }

    void arriveLate(Wire wire) {
        late.remove(wire);
        engines.get(wire.address).apply(wire.order);
    }

    void releaseReports() {
        List<Runnable> due = List.copyOf(lateReports);
        lateReports.clear();
        due.forEach(Runnable::run);
    }

    /** A restart ends the connections on which given-up orders were sent. */
    void restart(String address) {
        late.removeIf(wire -> wire.address.equals(address));
        engines.get(address).restart();
    }

    long holding(ArtifactId artifact) {
        return engines.values().stream()
                .filter(engine -> engine.held.containsKey(artifact))
                .count();
    }
}
