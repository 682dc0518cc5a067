package org.poplarwharf.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
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

    final String name;
    final ScriptedTarget server;
    final Optional<SoakEngine> engine;
    volatile boolean alive = true;
    volatile boolean draining;
    volatile boolean abortsResponses;
    volatile boolean rejectsRequests;
    private final TargetActivity activity;
    private final LongSupplier clock;
    private int replacementCount;

    SoakTarget(String name, boolean hasEngine, TargetActivity activity, LongSupplier clock) throws IOException {
        this.name = name;
        this.activity = activity;
        this.clock = clock;
        server = new ScriptedTarget(name + "-0");
        engine = hasEngine ? Optional.of(new SoakEngine(server, activity, clock)) : Optional.empty();
        if (!hasEngine) {
            server.script = this::handleRequest;
        }
    }

    /** Crashes: resets all connections and discards the state in memory. */
    void crash() {
        alive = false;
        engine.ifPresent(running -> running.restart(server.id));
        server.resetConnections();
    }

    /** Restarts under the same id. */
    void restart() {
        engine.ifPresent(running -> running.restart(server.id));
        alive = true;
    }

    /** Starts a replacement at the same address under a new id. */
    void replace() {
        server.id = name + "-" + ++replacementCount;
        engine.ifPresent(running -> running.restart(server.id));
        draining = false;
        alive = true;
    }

    /** Returns the registry entry of this target as JSON with apostrophes for quotes. */
    String registryEntry(String address) {
        return "{'service':'" + (engine.isPresent() ? "lm" : "desk") + "','addr':'" + address
                + "','zone':'z1','version':'v1','slots':" + SoakEngine.SLOT_COUNT + ",'state':'"
                + (draining ? "draining" : "ready") + "',"
                + engine.map(SoakEngine::reportFields).orElse("'seq':0") + "}";
    }

    private void handleRequest(Request request, OutputStream out) throws IOException {
        if (rejectsRequests) {
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
            return;
        }
        activity.add(
                new TargetActivity.Run(request.id(), server.id, clock.getAsLong(), request.line(), request.body(), 0));
        if (request.closedByPeerWithin(PROCESSING_MILLIS) || !alive || abortsResponses) {
            throw new IOException("caller disconnected, or the target crashed or aborts responses");
        }
        ScriptedTarget.writeResponse(out, request, "200 OK", responseBody(request.id()));
    }

    static String responseBody(String id) {
        return "answer to " + id;
    }
}
