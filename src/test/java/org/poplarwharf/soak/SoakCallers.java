package org.poplarwharf.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Callers that send requests of all kinds, some of them two at once. Each one uses the same gateway until its connection
 * closes.
 *
 * <p>Invariant: each request has a unique id and is sent only once. Thread-safe.
 */
final class SoakCallers {
    private static final int CALLER_COUNT = 12;
    private static final int CALLER_COUNT_WITHOUT_CHUNKS = 3;
    private static final int PIPELINING_CALLER_COUNT = 4;
    private static final int MAX_PAUSE_MILLIS = 120;

    /** Of callers that send their next request at once. */
    private static final int MAX_SHORT_PAUSE_MILLIS = 1;

    /** One in this many requests for a stream is for a long one, where there are long ones. */
    private static final int STREAMS_PER_LONG_STREAM = 2;

    private static final long RECONNECT_DELAY_MILLIS = 50;

    private final SoakFleet fleet;
    private final long seed;
    private final AtomicLong requestNumber = new AtomicLong();
    private final Queue<RecordedCall> calls = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopping;

    SoakCallers(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    void start() {
        for (int i = 0; i < CALLER_COUNT; i++) {
            Random random = new Random(seed * CALLER_COUNT + i);
            boolean takesChunks = seed < FaultSeeds.FIRST_SEED_WITHOUT_FRAMING || i >= CALLER_COUNT_WITHOUT_CHUNKS;
            boolean pipelines =
                    seed >= FaultSeeds.FIRST_SEED_WITH_SILENT_TARGETS && i >= CALLER_COUNT - PIPELINING_CALLER_COUNT;
            int maxPauseMillis =
                    FaultSeeds.hasLongStreams(seed) && i % 2 == 0 ? MAX_SHORT_PAUSE_MILLIS : MAX_PAUSE_MILLIS;
            threads.add(Thread.startVirtualThread(() -> send(random, takesChunks, pipelines, maxPauseMillis)));
        }
    }

    /** Stops the callers after each has completed its current request. */
    void stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    List<RecordedCall> calls() {
        return List.copyOf(calls);
    }

    private void send(Random random, boolean takesChunks, boolean pipelines, int maxPauseMillis) {
        SoakHttpConnection connection = null;
        try {
            while (!stopping) {
                if (connection == null || !connection.isReusable()) {
                    close(connection);
                    connection = connect(random, takesChunks);
                    continue;
                }
                int count = pipelines ? 1 + random.nextInt(2) : 1;
                calls.addAll(connection.sendPipelined(
                        Stream.generate(() -> request(random)).limit(count).toList()));
                Thread.sleep(random.nextInt(maxPauseMillis));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(connection);
        }
    }

    private SoakHttpConnection.Outgoing request(Random random) {
        CallKind kind = CallKind.values()[random.nextInt(CallKind.values().length)];
        boolean isLong = FaultSeeds.hasLongStreams(seed) && random.nextInt(STREAMS_PER_LONG_STREAM) == 0;
        String id = "r" + Long.toHexString(seed) + "-" + requestNumber.incrementAndGet()
                + (isLong ? SoakEngine.LONG_STREAM_SUFFIX : "");
        String model = kind.streaming ? fleet.randomModel(random) : "";
        return new SoakHttpConnection.Outgoing(id, kind, kind.path + id, model);
    }

    /** Connects to a random gateway; returns null if it refuses the connection. */
    private SoakHttpConnection connect(Random random, boolean takesChunks) throws InterruptedException {
        SoakGateway gateway = fleet.gateways().get(random.nextInt(SoakFleet.GATEWAY_COUNT));
        try {
            return takesChunks
                    ? new SoakHttpConnection(gateway.incarnation(), gateway.frontPort, fleet::nowMillis)
                    : SoakHttpConnection.withoutChunks(gateway.incarnation(), gateway.frontPort, fleet::nowMillis);
        } catch (IOException e) {
            Thread.sleep(RECONNECT_DELAY_MILLIS);
            return null;
        }
    }

    private static void close(SoakHttpConnection connection) {
        if (connection != null) {
            connection.close();
        }
    }
}
