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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.poplarwharf.support.ScriptedTarget;
import org.poplarwharf.support.ScriptedTarget.Request;

/**
 * A simulated model engine that executes one order at a time, streams responses and records its runs and orders.
 *
 * <p>Invariants: a request runs only while its model and adapter are loaded; a restart keeps only the models on disk.
 * Thread-safe.
 */
final class SoakEngine {
    static final int SLOT_COUNT = 8;
    static final int WEIGHTS_MB = 100;
    static final int MODEL_MB = 30;
    static final int ADAPTER_MB = 1;
    static final int ADAPTER_SLOT_COUNT = 3;
    static final long STORE_LOAD_MILLIS = 1_500;
    static final long DISK_LOAD_MILLIS = 300;
    static final int EVENT_COUNT = 5;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FIRST_EVENT_DELAY_MILLIS = 40;
    private static final int EVENT_INTERVAL_MILLIS = 20;
    private static final int LONG_EVENT_INTERVAL_MILLIS = 550;

    /** The end of the id of a request whose stream takes most of the shutdown grace period. */
    static final String LONG_STREAM_SUFFIX = "-long";

    /** Delay of an order while {@link #delaysOrders} is set; the order then gets no response. */
    private static final long ORDER_DELAY_MILLIS = 2_000;

    volatile boolean delaysOrders;
    volatile int slowdownFactor = 1;
    volatile boolean abortsResponses;

    /** How long each stream is silent once, at a point that differs from stream to stream; zero if it is not. */
    volatile int silenceMillis;

    /** Sends streams without chunks, and breaks some off. */
    volatile boolean omitsFraming;

    private final ScriptedTarget target;
    private final TargetActivity activity;
    private final LongSupplier clock;
    private final CrashAction crashAction;
    private final FaultyResponses faultyResponses;
    private final Map<String, ModelState> models = new LinkedHashMap<>();
    private final Set<String> onDisk = new LinkedHashSet<>();
    private final AtomicInteger unframedCount = new AtomicInteger();
    private final AtomicInteger silentCount = new AtomicInteger();
    private long startedMillis = System.currentTimeMillis();
    private long seq;
    private long busyUntilMillis;

    private static final class ModelState {
        final Set<String> adapters = new TreeSet<>();
        long readyMillis;
        int runningCount;
        boolean draining;
    }

    /** The response to an order. */
    private record OrderResponse(String status, boolean loadsFromStore) {}

    /** Crashes the target. */
    interface CrashAction {
        void run() throws IOException;
    }

    SoakEngine(
            ScriptedTarget target,
            TargetActivity activity,
            LongSupplier clock,
            CrashAction crashAction,
            FaultyResponses faultyResponses) {
        this.target = target;
        this.activity = activity;
        this.clock = clock;
        this.crashAction = crashAction;
        this.faultyResponses = faultyResponses;
        target.script = this::handleRequest;
        target.controlScript = this::handleControl;
    }

    /** Restarts the engine with only the models on disk. With a new id, which stands for a replacement, the disk is empty. */
    synchronized void restart(String id) {
        if (!target.id.equals(id)) {
            onDisk.clear();
        }
        target.id = id;
        models.clear();
        seq = 0;
        busyUntilMillis = 0;
        startedMillis = Math.max(startedMillis + 1, System.currentTimeMillis());
    }

    /** Returns the JSON fields on the engine's state for its registry entry and its reports, with apostrophes for quotes. */
    synchronized String reportFields() {
        removeDrainedModels();
        String loadedModels = models.entrySet().stream()
                .filter(model -> model.getValue().readyMillis <= clock.getAsLong())
                .map(model -> "{'name':'" + model.getKey() + "','version':1,'adapters':["
                        + quoted(model.getValue().adapters) + "]}")
                .collect(Collectors.joining(","));
        return "'born':" + startedMillis + ",'seq':" + seq + ",'busy':" + isBusy() + ",'models':[" + loadedModels
                + "],'atHand':{'inMemory':[],'onDisk':[" + quoted(onDisk) + "]}";
    }

    private static String quoted(Set<String> names) {
        return names.stream().map(name -> "'" + name + "'").collect(Collectors.joining(","));
    }

    private synchronized String incarnation() {
        return target.id + "/" + startedMillis;
    }

    private synchronized boolean isBusy() {
        return busyUntilMillis > clock.getAsLong()
                || models.values().stream().anyMatch(model -> model.draining && model.runningCount > 0);
    }

    /** Removes draining models without runs. */
    private void removeDrainedModels() {
        models.values().removeIf(model -> model.draining && model.runningCount == 0);
    }

    private void handleControl(Request request, OutputStream out) throws IOException, InterruptedException {
        if (request.line().startsWith("GET /report")) {
            ScriptedTarget.writeResponse(out, request, "200 OK", ("{" + reportFields() + "}").replace('\'', '"'));
            return;
        }
        boolean delayed = delaysOrders;
        if (delayed) {
            Thread.sleep(ORDER_DELAY_MILLIS);
        }
        OrderResponse response = handleOrder(JSON.readTree(request.body()), incarnation());
        if (delayed) {
            throw new IOException("order is dropped without a response");
        }
        ScriptedTarget.writeResponse(out, request, response.status(), "");
    }

    private synchronized OrderResponse handleOrder(JsonNode order, String incarnation) {
        removeDrainedModels();
        OrderResponse response = executeOrder(order);
        String description = order.path("opKind").asText() + " "
                + order.path("model").asText() + " " + order.path("adapter").asText("") + " " + response.status();
        activity.add(new TargetActivity.Order(
                clock.getAsLong(),
                incarnation,
                order.path("holder").asText(),
                order.path("fence").asLong(),
                description,
                response.loadsFromStore()));
        return response;
    }

    private OrderResponse executeOrder(JsonNode order) {
        if (order.path("holder").asText("").isEmpty() || !order.path("fence").isNumber()) {
            return new OrderResponse("400 Bad Request", false);
        }
        boolean isOutdated = order.path("precondition").isNumber()
                && order.path("precondition").asLong() != seq;
        if (isOutdated || isBusy()) {
            return new OrderResponse("409 Conflict", false);
        }
        String model = order.path("model").asText();
        boolean load = order.path("opKind").asText().equals("load");
        if (order.has("adapter")) {
            return executeAdapterOrder(model, order.path("adapter").asText(), load);
        }
        return load ? load(model) : unload(model);
    }

    private OrderResponse load(String model) {
        if (models.containsKey(model)) {
            return new OrderResponse("200 OK", false);
        }
        boolean loadsFromStore = !onDisk.contains(model);
        ModelState modelState = new ModelState();
        modelState.readyMillis = clock.getAsLong() + (loadsFromStore ? STORE_LOAD_MILLIS : DISK_LOAD_MILLIS);
        models.put(model, modelState);
        onDisk.add(model);
        busyUntilMillis = modelState.readyMillis;
        seq++;
        checkMemory("load of " + model);
        return new OrderResponse("202 Accepted", loadsFromStore);
    }

    private OrderResponse unload(String model) {
        ModelState modelState = models.get(model);
        if (modelState == null) {
            return new OrderResponse("200 OK", false);
        }
        modelState.draining = true;
        seq++;
        return new OrderResponse("202 Accepted", false);
    }

    private OrderResponse executeAdapterOrder(String model, String adapter, boolean load) {
        ModelState modelState = models.get(model);
        if (modelState == null) {
            return new OrderResponse("400 Bad Request", false);
        }
        boolean changed = load ? modelState.adapters.add(adapter) : modelState.adapters.remove(adapter);
        if (!changed) {
            return new OrderResponse("200 OK", false);
        }
        seq++;
        checkMemory("adapter " + adapter);
        return new OrderResponse(load ? "202 Accepted" : "200 OK", false);
    }

    private void checkMemory(String description) {
        int adapters = models.values().stream()
                .mapToInt(model -> model.adapters.size())
                .sum();
        int used = models.size() * MODEL_MB + adapters * ADAPTER_MB;
        if (used > WEIGHTS_MB || adapters > ADAPTER_SLOT_COUNT) {
            activity.recordViolation(
                    incarnation() + " was ordered to load more than its memory or adapter slots allow: " + description
                            + ", " + used + " MB, " + adapters + " adapters");
        }
    }

    private void handleRequest(Request request, OutputStream out) throws IOException, InterruptedException {
        String incarnation = incarnation();
        if (faultyResponses.refuse(request, out)) {
            return;
        }
        ModelState modelState = admit(request, out);
        if (modelState == null) {
            return;
        }
        long lastEventId =
                request.header("Last-Event-Id").isEmpty() ? 0 : Long.parseLong(request.header("Last-Event-Id"));
        activity.add(new TargetActivity.Run(
                request.id(), target.id, clock.getAsLong(), request.line(), request.body(), lastEventId));
        try {
            if (CrashingCaller.crashes(request)) {
                crashAction.run();
            }
            if (!faultyResponses.fail(request, out)) {
                stream(request, out, incarnation, lastEventId);
            }
        } finally {
            synchronized (this) {
                modelState.runningCount--;
                removeDrainedModels();
            }
        }
    }

    /** Admits a request, or returns null after it has rejected it with a status that says that it has not run. */
    private ModelState admit(Request request, OutputStream out) throws IOException {
        String[] requestedNames = request.header("X-Model").split("/");
        String rejectionStatus;
        synchronized (this) {
            removeDrainedModels();
            ModelState modelState = models.get(requestedNames[0]);
            int running = models.values().stream()
                    .mapToInt(model -> model.runningCount)
                    .sum();
            boolean isLoaded = modelState != null && modelState.readyMillis <= clock.getAsLong();
            if (!isLoaded || (requestedNames.length > 1 && !modelState.adapters.contains(requestedNames[1]))) {
                rejectionStatus = "421 Misdirected Request";
            } else if (modelState.draining
                    || running >= SLOT_COUNT
                    || !request.header("Kv-From").isEmpty()) {
                rejectionStatus = "503 Service Unavailable";
            } else {
                modelState.runningCount++;
                return modelState;
            }
        }
        ScriptedTarget.writeNotExecuted(out, request, rejectionStatus);
        return null;
    }

    /** Sends a stream without chunks that ends with its connection; breaks two of three off, one of these in order. */
    private void streamWithoutChunks(Request request, OutputStream out, String incarnation, long lastEventId)
            throws IOException {
        int breakKind = unframedCount.getAndIncrement() % 3;
        simulateWork(request, incarnation, FIRST_EVENT_DELAY_MILLIS);
        ScriptedTarget.writeUnframedStreamHead(out, request);
        for (long number = lastEventId + 1; number <= EVENT_COUNT; number++) {
            String event = eventText(request.id(), number);
            if (breakKind > 0 && number > EVENT_COUNT / 2) {
                if (breakKind == 1) {
                    ScriptedTarget.write(out, event.substring(0, event.length() / 2));
                } else {
                    request.resetConnection();
                }
                throw new IOException("engine breaks the response off");
            }
            ScriptedTarget.write(out, event);
            simulateWork(request, incarnation, EVENT_INTERVAL_MILLIS);
        }
        request.connection().close();
    }

    private void stream(Request request, OutputStream out, String incarnation, long lastEventId) throws IOException {
        if (omitsFraming) {
            streamWithoutChunks(request, out, incarnation, lastEventId);
            return;
        }
        int silence = silenceMillis;
        long silentAfter = lastEventId + silentCount.getAndIncrement() % (EVENT_COUNT - lastEventId + 1);
        simulateWork(request, incarnation, FIRST_EVENT_DELAY_MILLIS + (silentAfter == lastEventId ? silence : 0));
        ScriptedTarget.writeStreamHead(out, request);
        for (long number = lastEventId + 1; number <= EVENT_COUNT; number++) {
            String event = eventText(request.id(), number);
            if (abortsResponses && number > EVENT_COUNT / 2) {
                ScriptedTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event.substring(0, 4));
                throw new IOException("engine aborts the response");
            }
            ScriptedTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            simulateWork(
                    request, incarnation, eventIntervalMillis(request.id()) + (silentAfter == number ? silence : 0));
        }
        ScriptedTarget.write(out, "0\r\n\r\n");
    }

    private static int eventIntervalMillis(String requestId) {
        return requestId.endsWith(LONG_STREAM_SUFFIX) ? LONG_EVENT_INTERVAL_MILLIS : EVENT_INTERVAL_MILLIS;
    }

    /** Returns the duration of a stream at an engine that is not slowed. */
    static long streamMillis(String requestId) {
        return FIRST_EVENT_DELAY_MILLIS + EVENT_COUNT * eventIntervalMillis(requestId);
    }

    static String eventText(String id, long number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    /** Simulates work; aborts the run if the caller has disconnected or the engine has restarted. */
    private void simulateWork(Request request, String incarnation, int millis) throws IOException {
        if (request.closedByPeerWithin(millis * slowdownFactor)
                || !incarnation().equals(incarnation)) {
            throw new IOException("caller disconnected or engine restarted during the run");
        }
    }
}
