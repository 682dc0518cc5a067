package org.poplarwharf.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.poplarwharf.support.ScriptedTarget;
import org.poplarwharf.support.ScriptedTarget.Request;

/**
 * A target of the soak, with or without models, that registers itself as long as it lives.
 *
 * <p>Invariant: each start under a new id leaves the one before behind. Thread-safe.
 */
final class SoakTarget {
    private static final int WORK_MILLIS = 15;

    final String name;
    final ScriptedTarget server;
    final Optional<ModelEngine> engine;
    volatile boolean alive = true;
    volatile boolean leaving;
    volatile boolean breaksOff;
    volatile boolean refuses;
    private final Runs runs;
    private final LongSupplier clock;
    private int ids;

    SoakTarget(String name, boolean models, Runs runs, LongSupplier clock) throws IOException {
        this.name = name;
        this.runs = runs;
        this.clock = clock;
        server = new ScriptedTarget(name + "-0");
        engine = models ? Optional.of(new ModelEngine(server, runs, clock)) : Optional.empty();
        if (!models) {
            server.script = this::answer;
        }
    }

    /** Ends at once: its connections are reset and it forgets what it did. */
    void crash() {
        alive = false;
        engine.ifPresent(models -> models.restart(server.id));
        server.resetConnections();
    }

    /** Starts again under the id that it had. */
    void restart() {
        engine.ifPresent(models -> models.restart(server.id));
        alive = true;
    }

    /** Starts at the same address under another id. */
    void replace() {
        server.id = name + "-" + ++ids;
        engine.ifPresent(models -> models.restart(server.id));
        leaving = false;
        alive = true;
    }

    /** Returns its entry. */
    String entry(String address) {
        return "{'service':'" + (engine.isPresent() ? "lm" : "desk") + "','addr':'" + address
                + "','zone':'z1','version':'v1','slots':" + ModelEngine.SLOTS + ",'state':'"
                + (leaving ? "draining" : "ready") + "',"
                + engine.map(ModelEngine::state).orElse("'seq':0") + "}";
    }

    private void answer(Request request, OutputStream out) throws IOException {
        if (refuses) {
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
            return;
        }
        runs.add(new Runs.Run(request.id(), server.id, clock.getAsLong(), request.line(), request.body(), 0));
        if (request.closedByPeerWithin(WORK_MILLIS) || !alive || breaksOff) {
            throw new IOException("the run has ended early");
        }
        ScriptedTarget.writeResponse(out, request, "200 OK", body(request.id()));
    }

    static String body(String id) {
        return "answer to " + id;
    }
}
