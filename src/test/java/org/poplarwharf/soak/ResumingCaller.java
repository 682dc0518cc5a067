package org.poplarwharf.soak;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A caller that leaves its streams after some events and resumes them, up to twice, at any gateway.
 *
 * <p>Invariant: the id of a request that resumes a stream consists of the id of the request that began it and a suffix.
 * Thread-safe.
 */
final class ResumingCaller {
    private static final String ID_PREFIX = "resuming-";
    private static final String SUFFIX = "~";
    private static final int EVENTS_PER_REQUEST = 2;
    private static final int MAX_PAUSE_MILLIS = 150;

    private final SoakFleet fleet;
    private final Random random;
    private final String idPrefix;
    private final Queue<RecordedCall> calls = new ConcurrentLinkedQueue<>();
    private volatile boolean stopping;
    private Thread thread;

    ResumingCaller(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.idPrefix = ID_PREFIX + Long.toHexString(seed) + "-";
    }

    static boolean isCallerOf(RecordedCall call) {
        return call.id().startsWith(ID_PREFIX);
    }

    /** Returns the id of the request that began the stream which a request resumes. */
    static String beganId(String id) {
        int suffix = id.indexOf(SUFFIX);
        return suffix < 0 ? id : id.substring(0, suffix);
    }

    void start() {
        thread = Thread.startVirtualThread(this::sendStreams);
    }

    List<RecordedCall> stop() throws InterruptedException {
        stopping = true;
        if (thread != null) {
            thread.join();
        }
        return List.copyOf(calls);
    }

    private void sendStreams() {
        try {
            for (int i = 0; !stopping; i++) {
                String beganId = idPrefix + i;
                String model = fleet.randomModel(random);
                int events = send(beganId, beganId, model, 0);
                for (int part = 1; events > 0 && events < SoakEngine.EVENT_COUNT && !stopping; part++) {
                    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
                    int more = send(beganId + SUFFIX + part, beganId, model, events);
                    events = more == 0 ? 0 : events + more;
                }
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request, reads some events, and returns how many have arrived. */
    private int send(String id, String beganId, String model, int lastEventId) {
        SoakGateway gateway = fleet.gateways().get(random.nextInt(SoakFleet.GATEWAY_COUNT));
        try (SoakHttpConnection connection =
                new SoakHttpConnection(gateway.incarnation(), gateway.frontPort, fleet::nowMillis)) {
            String resumeHeaders =
                    lastEventId == 0 ? "" : "Last-Event-Id: " + lastEventId + "\r\nResumes: " + beganId + "\r\n";
            RecordedCall call = connection.sendForEvents(
                    id, CallKind.RESUMABLE, CallKind.RESUMABLE.path + id, model, resumeHeaders, EVENTS_PER_REQUEST);
            calls.add(call);
            return call.body().split("\n\n", -1).length - 1;
        } catch (IOException e) {
            return 0; // The gateway is down.
        }
    }
}
