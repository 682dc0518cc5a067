package org.poplarwharf.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.poplarwharf.support.ScriptedTarget;
import org.poplarwharf.support.ScriptedTarget.Request;

/**
 * A simulated target, either an engine or a plain service, that is registered while it is alive.
 *
 * <p>Invariant: a start under a new id discards the state of the previous id. Thread-safe.
 */
final class SoakTarget {
    private static final int PROCESSING_MILLIS = 15;
    private static final int SOFTWARE_VERSION_COUNT = 2;
    private static final int ENGINE_SLOWDOWN_FACTOR = 8;

    final String name;
    final ScriptedTarget server;
    final Optional<SoakEngine> engine;
    volatile boolean alive = true;
    volatile boolean draining;
    volatile boolean abortsResponses;
    volatile boolean rejectsRequests;
    private volatile boolean omitsFraming;
    private volatile int silenceMillis;
    private final TargetActivity activity;
    private final LongSupplier clock;
    private final FaultyResponses faultyResponses;
    private final AtomicInteger unframedCount = new AtomicInteger();
    private final AtomicInteger silentCount = new AtomicInteger();
    private int replacementCount;
    private long startedMillis = System.currentTimeMillis();
    private int startCount;
    private final Consumer<SoakTarget> crashedByRequest;

    SoakTarget(
            String name,
            boolean hasEngine,
            TargetActivity activity,
            LongSupplier clock,
            Consumer<SoakTarget> crashedByRequest)
            throws IOException {
        this.name = name;
        this.activity = activity;
        this.clock = clock;
        this.crashedByRequest = crashedByRequest;
        server = new ScriptedTarget(name + "-0");
        faultyResponses = new FaultyResponses(
                request -> activity.add(new TargetActivity.LateCopy(request.id(), name, clock.getAsLong())));
        server.onArrival = request -> activity.add(new TargetActivity.Arrival(request.id(), name, clock.getAsLong()));
        engine = hasEngine
                ? Optional.of(new SoakEngine(server, activity, clock, this::crashByRequest, faultyResponses))
                : Optional.empty();
        if (!hasEngine) {
            server.script = this::handleRequest;
        }
    }

    /** Passes each request that arrives to a check. */
    void checkRequests(Consumer<Request> check) {
        server.onArrival = server.onArrival.andThen(check);
    }

    /** Names a limit in all responses; the returned action ends that. */
    Runnable nameLimit(double requestsPerSecond) {
        long startMillis = clock.getAsLong();
        server.requestsPerSecondLimit = OptionalDouble.of(requestsPerSecond);
        return () -> {
            server.requestsPerSecondLimit = OptionalDouble.empty();
            activity.add(new TargetActivity.LimitPeriod(name, requestsPerSecond, startMillis, clock.getAsLong()));
        };
    }

    /** Crashes: resets all connections and discards the state in memory. */
    void crash() {
        alive = false;
        engine.ifPresent(running -> running.restart(server.id));
        server.resetConnections();
    }

    /** Restarts under the same id. */
    synchronized void restart() {
        engine.ifPresent(running -> running.restart(server.id));
        recordStart();
    }

    private void recordStart() {
        startedMillis = Math.max(startedMillis + 1, System.currentTimeMillis());
        startCount++;
        alive = true;
    }

    /** Crashes under a request, and refuses connections until {@link #restartAfterRequest}. */
    private void crashByRequest() throws IOException {
        crashedByRequest.accept(this);
        crash();
        server.crash();
    }

    synchronized int startCount() {
        return startCount;
    }

    /** Restarts after a crash under a request, unless the target has been started or replaced since. */
    synchronized void restartAfterRequest(int startCountBefore) throws IOException {
        server.restart();
        if (startCount == startCountBefore) {
            restart();
        }
    }

    /** Starts a replacement at the same address under a new id. */
    synchronized void replace() {
        server.id = name + "-" + ++replacementCount;
        engine.ifPresent(running -> running.restart(server.id));
        draining = false;
        recordStart();
    }

    /** Returns the software version of a target with a name such as t1, or an id such as t1-0; each service has two. */
    static String softwareVersion(String nameOrId) {
        return "v" + (nameOrId.charAt(1) - '0') % SOFTWARE_VERSION_COUNT;
    }

    /** Returns the registry entry of this target as JSON with apostrophes for quotes. */
    synchronized String registryEntry(String address) {
        return "{'service':'" + (engine.isPresent() ? "lm" : "desk") + "','addr':'" + address
                + "','zone':'z1','version':'" + softwareVersion(name) + "','slots':" + SoakEngine.SLOT_COUNT
                + ",'state':'"
                + (draining ? "draining" : "ready") + "',"
                + engine.map(SoakEngine::reportFields).orElseGet(() -> "'born':" + startedMillis + ",'seq':0") + "}";
    }

    private void handleRequest(Request request, OutputStream out) throws IOException, InterruptedException {
        if (faultyResponses.refuse(request, out)) {
            return;
        }
        if (rejectsRequests) {
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
            return;
        }
        activity.add(
                new TargetActivity.Run(request.id(), server.id, clock.getAsLong(), request.line(), request.body(), 0));
        if (CrashingCaller.crashes(request)) {
            crashByRequest();
        }
        if (request.closedByPeerWithin(PROCESSING_MILLIS) || !alive || abortsResponses) {
            throw new IOException("caller disconnected, or the target crashed or aborts responses");
        }
        if (faultyResponses.fail(request, out) || faultyResponses.malform(request, out)) {
            return;
        }
        if (omitsFraming) {
            respondWithoutLength(request, out);
        } else if (silenceMillis > 0) {
            respondAfterSilence(request, out);
        } else {
            ScriptedTarget.writeResponse(out, request, "200 OK", responseBody(request.id()));
        }
    }

    /** Responds without a length, and resets the connection within every other response. */
    private void respondWithoutLength(Request request, OutputStream out) throws IOException {
        String body = responseBody(request.id());
        boolean isReset = unframedCount.getAndIncrement() % 2 == 0;
        ScriptedTarget.writeUnframedStreamHead(out, request);
        ScriptedTarget.write(out, isReset ? body.substring(0, body.length() / 2) : body);
        if (isReset) {
            request.resetConnection();
        }
        request.connection().close();
    }

    /** Falls silent before the response, or in the middle of every other one, and goes on. */
    private void respondAfterSilence(Request request, OutputStream out) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        ScriptedTarget.writeResponse(response, request, "200 OK", responseBody(request.id()));
        int sentFirst = silentCount.getAndIncrement() % 2 * response.size() / 2;
        out.write(response.toByteArray(), 0, sentFirst);
        if (request.closedByPeerWithin(Math.max(1, silenceMillis))) {
            throw new IOException("caller disconnected");
        }
        out.write(response.toByteArray(), sentFirst, response.size() - sentFirst);
    }

    /** Makes the target fall silent for this long in each response, and go on; zero ends that. */
    void setSilence(int millis) {
        silenceMillis = millis;
        engine.ifPresent(running -> running.silenceMillis = millis);
    }

    /** Switches a fault of the target's own on or off. */
    void setFault(FaultInjector.Kind kind, boolean on) {
        switch (kind) {
            case TARGET_ABORTS_RESPONSES -> {
                abortsResponses = on;
                engine.ifPresent(running -> running.abortsResponses = on);
            }
            case TARGET_OMITS_FRAMING -> setOmitsFraming(on);
            case TARGET_REFUSES -> rejectsRequests = on;
            case TARGET_SLOW -> engine.ifPresent(running -> running.slowdownFactor = on ? ENGINE_SLOWDOWN_FACTOR : 1);
            case TARGET_REPEATS_REFUSALS -> faultyResponses.repeatsRefusals = on;
            case TARGET_FAILS_RUNS -> faultyResponses.failsRuns = on;
            case TARGET_SENDS_MALFORMED -> faultyResponses.sendsMalformed = on;
            case ORDERS_DELAYED -> engine.ifPresent(running -> running.delaysOrders = on);
            default -> throw new IllegalArgumentException("not a fault of a target's own: " + kind);
        }
    }

    /** Makes the target respond without length or chunks, and break responses off, until switched off. */
    private void setOmitsFraming(boolean on) {
        omitsFraming = on;
        engine.ifPresent(running -> running.omitsFraming = on);
    }

    static String responseBody(String id) {
        return "answer to " + id;
    }
}
