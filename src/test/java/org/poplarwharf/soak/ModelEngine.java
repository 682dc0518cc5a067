package org.poplarwharf.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.poplarwharf.support.ScriptedTarget;
import org.poplarwharf.support.ScriptedTarget.Request;

/**
 * A model server of the soak: it takes orders one at a time, streams answers and notes what it is made to do.
 *
 * <p>Invariants: a request runs only with its model and adapter held; a restart keeps only what is on disk. Thread-safe.
 */
final class ModelEngine {
    static final int SLOTS = 8;
    static final int WEIGHTS_MB = 100;
    static final int MODEL_MB = 30;
    static final int ADAPTER_MB = 1;
    static final int ADAPTER_SLOTS = 3;
    static final long STORE_MILLIS = 1_500;
    static final long DISK_MILLIS = 300;
    static final int EVENTS = 5;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FIRST_EVENT_MILLIS = 40;
    private static final int EVENT_MILLIS = 20;

    /** Orders that arrive wait this long where they are made late, and get no answer. */
    private static final long LATE_ORDER_MILLIS = 2_000;

    volatile boolean ordersAreLate;
    volatile int slowness = 1;
    volatile boolean breaksOff;

    private final ScriptedTarget target;
    private final Runs runs;
    private final LongSupplier clock;
    private final Map<String, Held> models = new LinkedHashMap<>();
    private final Set<String> onDisk = new LinkedHashSet<>();
    private long born = System.currentTimeMillis();
    private long seq;
    private long busyUntilMillis;

    private static final class Held {
        final Set<String> adapters = new TreeSet<>();
        long readyMillis;
        int running;
        boolean leaving;
    }

    /** How a target answers an order. */
    private record Answer(String status, boolean fromStore) {}

    ModelEngine(ScriptedTarget target, Runs runs, LongSupplier clock) {
        this.target = target;
        this.runs = runs;
        this.clock = clock;
        target.script = this::request;
        target.controlScript = this::control;
    }

    /** Starts anew, with nothing but what is on disk; a target that is replaced has another id and an empty disk. */
    synchronized void restart(String id) {
        if (!target.id.equals(id)) {
            onDisk.clear();
        }
        target.id = id;
        models.clear();
        seq = 0;
        busyUntilMillis = 0;
        born = Math.max(born + 1, System.currentTimeMillis());
    }

    /** Returns what the target says of itself, as it stands in its entry and its reports. */
    synchronized String state() {
        settle();
        String held = models.entrySet().stream()
                .filter(model -> model.getValue().readyMillis <= clock.getAsLong())
                .map(model -> "{'name':'" + model.getKey() + "','version':1,'adapters':["
                        + quoted(model.getValue().adapters) + "]}")
                .collect(Collectors.joining(","));
        return "'born':" + born + ",'seq':" + seq + ",'busy':" + busy() + ",'models':[" + held
                + "],'atHand':{'inMemory':[],'onDisk':[" + quoted(onDisk) + "]}";
    }

    private static String quoted(Set<String> names) {
        return names.stream().map(name -> "'" + name + "'").collect(Collectors.joining(","));
    }

    private synchronized String lifetime() {
        return target.id + "/" + born;
    }

    private synchronized boolean busy() {
        return busyUntilMillis > clock.getAsLong()
                || models.values().stream().anyMatch(model -> model.leaving && model.running > 0);
    }

    /** Lets models go whose last run has ended. */
    private void settle() {
        models.values().removeIf(model -> model.leaving && model.running == 0);
    }

    private void control(Request request, OutputStream out) throws IOException, InterruptedException {
        if (request.line().startsWith("GET /report")) {
            ScriptedTarget.writeResponse(out, request, "200 OK", ("{" + state() + "}").replace('\'', '"'));
            return;
        }
        boolean late = ordersAreLate;
        if (late) {
            Thread.sleep(LATE_ORDER_MILLIS);
        }
        Answer answer = order(JSON.readTree(request.body()), lifetime());
        if (late) {
            throw new IOException("an order without an answer");
        }
        ScriptedTarget.writeResponse(out, request, answer.status(), "");
    }

    private synchronized Answer order(JsonNode order, String lifetime) {
        settle();
        Answer answer = carryOut(order);
        String what = order.path("opKind").asText() + " " + order.path("model").asText() + " "
                + order.path("adapter").asText("") + " " + answer.status();
        runs.add(new Runs.Order(
                clock.getAsLong(),
                lifetime,
                order.path("holder").asText(),
                order.path("fence").asLong(),
                what,
                answer.fromStore()));
        return answer;
    }

    private Answer carryOut(JsonNode order) {
        if (order.path("holder").asText("").isEmpty() || !order.path("fence").isNumber()) {
            return new Answer("400 Bad Request", false);
        }
        boolean outdated = order.path("precondition").isNumber()
                && order.path("precondition").asLong() != seq;
        if (outdated || busy()) {
            return new Answer("409 Conflict", false);
        }
        String model = order.path("model").asText();
        boolean load = order.path("opKind").asText().equals("load");
        if (order.has("adapter")) {
            return adapter(model, order.path("adapter").asText(), load);
        }
        return load ? load(model) : unload(model);
    }

    private Answer load(String model) {
        if (models.containsKey(model)) {
            return new Answer("200 OK", false);
        }
        boolean fromStore = !onDisk.contains(model);
        Held held = new Held();
        held.readyMillis = clock.getAsLong() + (fromStore ? STORE_MILLIS : DISK_MILLIS);
        models.put(model, held);
        onDisk.add(model);
        busyUntilMillis = held.readyMillis;
        seq++;
        checkRoom("load of " + model);
        return new Answer("202 Accepted", fromStore);
    }

    private Answer unload(String model) {
        Held held = models.get(model);
        if (held == null) {
            return new Answer("200 OK", false);
        }
        held.leaving = true;
        seq++;
        return new Answer("202 Accepted", false);
    }

    private Answer adapter(String model, String adapter, boolean load) {
        Held held = models.get(model);
        if (held == null) {
            return new Answer("400 Bad Request", false);
        }
        boolean changed = load ? held.adapters.add(adapter) : held.adapters.remove(adapter);
        if (!changed) {
            return new Answer("200 OK", false);
        }
        seq++;
        checkRoom("adapter " + adapter);
        return new Answer(load ? "202 Accepted" : "200 OK", false);
    }

    private void checkRoom(String what) {
        int adapters = models.values().stream()
                .mapToInt(model -> model.adapters.size())
                .sum();
        int used = models.size() * MODEL_MB + adapters * ADAPTER_MB;
        if (used > WEIGHTS_MB || adapters > ADAPTER_SLOTS) {
            runs.breach(lifetime() + " was ordered beyond its room: " + what + ", " + used + " MB, " + adapters
                    + " adapters");
        }
    }

    private void request(Request request, OutputStream out) throws IOException, InterruptedException {
        String lifetime = lifetime();
        Held held = admit(request, out);
        if (held == null) {
            return;
        }
        long afterEvent =
                request.header("Last-Event-Id").isEmpty() ? 0 : Long.parseLong(request.header("Last-Event-Id"));
        runs.add(new Runs.Run(request.id(), target.id, clock.getAsLong(), request.line(), request.body(), afterEvent));
        try {
            stream(request, out, lifetime, afterEvent);
        } finally {
            synchronized (this) {
                held.running--;
                settle();
            }
        }
    }

    /** Takes a request in, or answers that it has not run. */
    private Held admit(Request request, OutputStream out) throws IOException {
        String[] wanted = request.header("X-Model").split("/");
        String refusal;
        synchronized (this) {
            settle();
            Held held = models.get(wanted[0]);
            int running =
                    models.values().stream().mapToInt(model -> model.running).sum();
            boolean present = held != null && held.readyMillis <= clock.getAsLong();
            if (!present || (wanted.length > 1 && !held.adapters.contains(wanted[1]))) {
                refusal = "421 Misdirected Request";
            } else if (held.leaving
                    || running >= SLOTS
                    || !request.header("Kv-From").isEmpty()) {
                refusal = "503 Service Unavailable";
            } else {
                held.running++;
                return held;
            }
        }
        ScriptedTarget.writeNotExecuted(out, request, refusal);
        return null;
    }

    private void stream(Request request, OutputStream out, String lifetime, long afterEvent) throws IOException {
        pause(request, lifetime, FIRST_EVENT_MILLIS);
        ScriptedTarget.writeStreamHead(out, request);
        for (long number = afterEvent + 1; number <= EVENTS; number++) {
            String event = event(request.id(), number);
            if (breaksOff && number > EVENTS / 2) {
                ScriptedTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event.substring(0, 4));
                throw new IOException("the target breaks off");
            }
            ScriptedTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            pause(request, lifetime, EVENT_MILLIS);
        }
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    static String event(String id, long number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    /** Works for a while; ends the run where its caller has left or the target has started anew. */
    private void pause(Request request, String lifetime, int millis) throws IOException {
        if (request.closedByPeerWithin(millis * slowness) || !lifetime().equals(lifetime)) {
            throw new IOException("the run has ended early");
        }
    }
}
