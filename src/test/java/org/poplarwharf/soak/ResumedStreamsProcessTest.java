package org.poplarwharf.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.support.Eventually;

/**
 * The share of streams that are resumed while gateways are frozen or killed. Each service has targets of two software
 * versions, two of each.
 */
@Timeout(180)
class ResumedStreamsProcessTest {
    private static final int STREAM_COUNT = 60;

    /** The nodes of which one at a time is frozen. */
    private static final int NODE_COUNT = 3;

    private static final int EVENTS_BEFORE_BREAK = 2;
    private static final double MIN_RATIO_TO_NEW_STREAMS = 0.9;
    private static final int CONCURRENT_STREAM_COUNT = 8;
    private static final int STREAMS_PER_KILL = 15;
    private static final double MIN_SHARE_AFTER_KILLS = 0.95;

    /** Longer than the nodes need for a new holder, and shorter than records of streams are kept. */
    private static final long RETRY_MILLIS = 10_000;

    private static final long RETRY_INTERVAL_MILLIS = 300;
    private static final int MODEL_COUNT = 2;

    /** Time between two streams, so that targets have free slots. */
    private static final long PAUSE_MILLIS = 40;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private SoakFleet fleet;

    @Test
    void streams_are_resumed_as_often_as_new_ones_begin_while_a_third_of_the_nodes_is_frozen() throws Exception {
        try (SoakFleet started = new SoakFleet(directory)) {
            fleet = started;
            fleet.start();
            fleet.gateways().get(NODE_COUNT).process().kill();
            sendAll(nodesExcept(NODE_COUNT), "warm", "", Integer.MAX_VALUE);
            for (int frozen = 0; frozen < NODE_COUNT; frozen++) {
                assertResumedWhileFrozen(frozen);
            }
        }
    }

    private void assertResumedWhileFrozen(int frozen) throws Exception {
        String old = "old" + frozen;
        List<Boolean> begun = sendAll(nodesExcept(NODE_COUNT), old, "", EVENTS_BEFORE_BREAK);
        SoakGateway gateway = fleet.gateways().get(frozen);
        gateway.process().pause();
        try (ExecutorService sender = Executors.newSingleThreadExecutor()) {
            List<SoakGateway> others = nodesExcept(frozen);
            Future<List<Boolean>> sent = sender.submit(() -> sendAll(others, "new" + frozen, "", Integer.MAX_VALUE));
            List<Boolean> resumed = sendAll(others, "resumed" + frozen, old, Integer.MAX_VALUE);
            List<Boolean> fresh = sent.get();
            System.out.println("frozen node " + gateway.name + ": begun " + share(begun) + ", resumed " + share(resumed)
                    + ", new " + share(fresh));

            assertThat(share(begun)).isGreaterThan(MIN_RATIO_TO_NEW_STREAMS);
            assertThat(share(resumed)).isGreaterThanOrEqualTo(MIN_RATIO_TO_NEW_STREAMS * share(fresh));
        } finally {
            gateway.process().resume();
        }
        Eventually.eventually(gateway.name + " is ready", gateway::isReady);
    }

    private List<SoakGateway> nodesExcept(int excluded) {
        List<SoakGateway> nodes = new ArrayList<>(fleet.gateways().subList(0, NODE_COUNT));
        if (excluded < NODE_COUNT) {
            nodes.remove(excluded);
        }
        return nodes;
    }

    @Test
    void streams_are_resumed_after_their_nodes_are_killed_one_at_a_time() throws Exception {
        try (SoakFleet started = new SoakFleet(directory)) {
            fleet = started;
            fleet.start();
            sendAll(fleet.gateways(), "warm", "", Integer.MAX_VALUE);
            List<Boolean> resumed = new ArrayList<>();
            for (int killed = 0; killed < SoakFleet.GATEWAY_COUNT; killed++) {
                resumed.addAll(resumeAfterKill(killed));
            }
            System.out.println("killed nodes: resumed " + share(resumed) + " of " + resumed.size());

            assertThat(share(resumed)).isGreaterThanOrEqualTo(MIN_SHARE_AFTER_KILLS);
        }
    }

    /** Begins streams at a gateway, kills it, and returns for each stream whether another gateway went on with it. */
    private List<Boolean> resumeAfterKill(int killed) throws Exception {
        SoakGateway gateway = fleet.gateways().get(killed);
        String prefix = "killed" + killed;
        List<Integer> begun = new ArrayList<>();
        for (int number = 0; number < STREAMS_PER_KILL; number++) {
            if (send(gateway, prefix, "", number, EVENTS_BEFORE_BREAK)) {
                begun.add(number);
            }
        }
        assertThat(begun).isNotEmpty();
        gateway.process().kill();
        List<Boolean> resumed = new ArrayList<>();
        for (int number : begun) {
            resumed.add(resumeWithRetries(killed, prefix, number));
        }
        gateway.start();
        Eventually.eventually(gateway.name + " is ready", gateway::isReady);
        return resumed;
    }

    /** Resumes a stream as a caller does that comes back after a refusal. */
    private boolean resumeWithRetries(int killed, String prefix, int number) throws Exception {
        long endMillis = fleet.nowMillis() + RETRY_MILLIS;
        for (int attempt = 0; fleet.nowMillis() < endMillis; attempt++) {
            int other = (killed + 1 + attempt % (SoakFleet.GATEWAY_COUNT - 1)) % SoakFleet.GATEWAY_COUNT;
            SoakGateway gateway = fleet.gateways().get(other);
            if (send(gateway, prefix + "-again" + attempt, prefix, number, Integer.MAX_VALUE)) {
                return true;
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
        return false;
    }

    /** Sends streams to the gateways in turn, and returns for each whether it was served. */
    private List<Boolean> sendAll(List<SoakGateway> gateways, String prefix, String resumedPrefix, int maxEvents)
            throws Exception {
        List<Future<Boolean>> served = new ArrayList<>();
        try (ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_STREAM_COUNT)) {
            for (int i = 0; i < STREAM_COUNT; i++) {
                int number = i;
                // A stream is resumed at another gateway than the one that began it.
                SoakGateway gateway = gateways.get((resumedPrefix.isEmpty() ? i : i + 1) % gateways.size());
                Callable<Boolean> caller = () -> send(gateway, prefix, resumedPrefix, number, maxEvents);
                served.add(callers.submit(caller));
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        List<Boolean> results = new ArrayList<>();
        for (Future<Boolean> each : served) {
            results.add(each.get());
        }
        return results;
    }

    private boolean send(SoakGateway gateway, String prefix, String resumedPrefix, int number, int maxEvents)
            throws IOException {
        String headers = resumedPrefix.isEmpty()
                ? ""
                : "Last-Event-Id: " + EVENTS_BEFORE_BREAK + "\r\nResumes: " + resumedPrefix + "-" + number + "\r\n";
        String id = prefix + "-" + number;
        try (SoakHttpConnection connection =
                new SoakHttpConnection(gateway.incarnation(), gateway.frontPort, fleet::nowMillis)) {
            RecordedCall call = connection.sendForEvents(
                    id,
                    CallKind.RESUMABLE,
                    CallKind.RESUMABLE.path + id,
                    "m" + number % MODEL_COUNT,
                    headers,
                    maxEvents);
            return call.isSuccessful();
        }
    }

    private static double share(List<Boolean> served) {
        return served.stream().filter(each -> each).count() / (double) served.size();
    }
}
