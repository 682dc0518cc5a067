package org.poplarwharf.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers that send requests of all kinds, each at one gateway as long as its connection lasts.
 *
 * <p>Invariant: each request has an id of its own and is sent once. Thread-safe.
 */
final class Callers {
    private static final int CALLERS = 12;
    private static final int MOST_PAUSE_MILLIS = 120;
    private static final long REFUSED_PAUSE_MILLIS = 50;

    private final SoakFleet fleet;
    private final long seed;
    private final AtomicLong numbers = new AtomicLong();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopping;

    Callers(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            Random random = new Random(seed * CALLERS + i);
            threads.add(Thread.startVirtualThread(() -> send(random)));
        }
    }

    /** Lets each caller finish its request. */
    void stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    List<Call> calls() {
        return List.copyOf(calls);
    }

    private void send(Random random) {
        CallerConnection connection = null;
        try {
            while (!stopping) {
                if (connection == null || !connection.usable()) {
                    close(connection);
                    connection = connect(random);
                    continue;
                }
                calls.add(call(connection, random));
                Thread.sleep(random.nextInt(MOST_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(connection);
        }
    }

    private Call call(CallerConnection connection, Random random) {
        CallKind kind = CallKind.values()[random.nextInt(CallKind.values().length)];
        String id = "r" + Long.toHexString(seed) + "-" + numbers.incrementAndGet();
        String model = kind.stream ? fleet.model(random) : "";
        return connection.call(id, kind, kind.path + id, model);
    }

    /** Returns a connection to a gateway that takes new ones; null where the one that was tried refuses. */
    private CallerConnection connect(Random random) throws InterruptedException {
        SoakGateway gateway = fleet.gateways().get(random.nextInt(SoakFleet.GATEWAYS));
        try {
            return new CallerConnection(gateway.lifetime(), gateway.frontPort, fleet::nowMillis);
        } catch (IOException e) {
            Thread.sleep(REFUSED_PAUSE_MILLIS);
            return null;
        }
    }

    private static void close(CallerConnection connection) {
        if (connection != null) {
            connection.close();
        }
    }
}
