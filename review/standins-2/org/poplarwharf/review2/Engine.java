package org.poplarwharf.review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound model server, as the pages describe it: it registers itself, carries out one order at a time, serves the models
 * that it holds as streams of events, and stops a run whose channel closes. It may start again under its id, with nothing
 * loaded and its disk preserved. Thread-safe.
 */
final class Engine implements AutoCloseable {
    static final int SLOTS = 96;
    static final long STORE_LOAD_MILLIS = 6_000;
    static final long DISK_LOAD_MILLIS = 350;
    private static final long CHECK_IN_MILLIS = 1_200;

    final String id;
    final String zone;
    final String service;
    private final Store store;
    private final Recorder recorder;
    private final int slots;
    private final int eventCount;
    private final int eventMillis;
    private final int port;
    private final Map<String, Long> readyMillisByModel = new LinkedHashMap<>();
    private final Map<String, Integer> runsByModel = new LinkedHashMap<>();
    private final Set<String> onDisk = new LinkedHashSet<>();
    private final Set<String> unloading = new LinkedHashSet<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final List<Order> orders = new ArrayList<>();
    private String version;
    private long bornMillis;
    private long seq;
    private long beats;
    private int startCount;
    private boolean up;
    private boolean draining;
    private volatile boolean dark;
    private String written = "";
    private ServerSocket listener;

    /** An order that has arrived. */
    record Order(long millis, String holder, long fence, String what, int status) {}

    Engine(String id, String service, String zone, int slots, int eventCount, int eventMillis, Store store, Recorder recorder)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.slots = slots;
        this.eventCount = eventCount;
        this.eventMillis = eventMillis;
        this.store = store;
        this.recorder = recorder;
        port = Gateway.freePorts(1);
    }

    int port() {
        return port;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Puts copies of models on the disk, and loads some, as the platform does before the start. */
    synchronized void place(List<String> disk, List<String> loaded) {
        onDisk.addAll(disk);
        loaded.forEach(model -> readyMillisByModel.put(model, 0L));
    }

    /** Starts the server, or starts it again, with a version of its software. */
    synchronized void start(String softwareVersion) throws IOException {
        version = softwareVersion;
        bornMillis = Math.max(bornMillis + 1, System.currentTimeMillis());
        seq = 0;
        startCount++;
        up = true;
        draining = false;
        ServerSocket opened = listen();
        listener = opened;
        int start = startCount;
        recorder.write("server %s starts, version %s", id, version);
        Threads.start(() -> {
            while (true) {
                awaitLight();
                Socket socket = opened.accept();
                sockets.add(socket);
                Threads.start(() -> serve(socket, start));
            }
        });
        Threads.start(() -> {
            while (isUp(start) && !dark) {
                checkIn();
                Thread.sleep(CHECK_IN_MILLIS);
            }
        });
    }

    /** Reports that the server is about to leave; it goes on serving. */
    synchronized void drain() {
        draining = true;
        checkIn();
        recorder.write("server %s drains", id);
    }

    /** Falls silent: nothing is answered, sent or accepted any more, and no channel is closed. */
    void goDark() {
        dark = true;
        recorder.write("server %s is dark", id);
    }

    private void awaitLight() {
        while (dark) {
            Threads.sleep(10);
        }
    }

    /** Ends the process: its channels are reset, and nothing stays in memory. The entry of a server that has left goes. */
    void stop() throws IOException {
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            readyMillisByModel.clear();
            runsByModel.clear();
            unloading.clear();
            listener.close();
            recorder.write("server %s ends", id);
            if (draining) {
                store.put("servers", id, "");
                written = "";
            }
        }
        sockets.forEach(Http::reset);
        sockets.clear();
        dark = false;
    }

    /** Listens at the server's port, which the process before may still hold for a moment. */
    private ServerSocket listen() throws IOException {
        long endNanos = System.nanoTime() + 2_000_000_000L;
        while (true) {
            ServerSocket opened = new ServerSocket();
            try {
                opened.setReuseAddress(true);
                opened.bind(new InetSocketAddress("127.0.0.1", port), 200);
                return opened;
            } catch (BindException e) {
                opened.close();
                if (System.nanoTime() > endNanos) {
                    throw e;
                }
                Threads.sleep(5);
            }
        }
    }

    private synchronized boolean isUp(int start) {
        return up && startCount == start;
    }

    /** Writes the entry if it has changed. */
    synchronized void checkIn() {
        String entry = "{\"service\":\"" + service + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\""
                + version + "\",\"slots\":" + slots + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"coldLeftMs\":0," + fields() + "}";
        String unchanged = entry.replaceAll("\"seq\":\\d+", "");
        if (!unchanged.equals(written)) {
            written = unchanged;
            store.put("servers", id, entry);
        }
    }

    private synchronized String fields() {
        endUnloading();
        List<String> models = new ArrayList<>();
        readyMillisByModel.forEach((model, readyMillis) -> {
            if (readyMillis <= recorder.nowMillis()) {
                models.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
            }
        });
        return "\"stage\":\"both\",\"born\":" + bornMillis + ",\"models\":[" + String.join(",", models) + "],\"seq\":"
                + seq + ",\"atHand\":{\"inMemory\":[],\"onDisk\":[\"" + String.join("\",\"", onDisk) + "\"]}";
    }

    private synchronized boolean isBusy() {
        endUnloading();
        return !unloading.isEmpty()
                || readyMillisByModel.values().stream().anyMatch(ready -> ready > recorder.nowMillis());
    }

    private synchronized void endUnloading() {
        unloading.removeIf(model -> {
            boolean idle = runsByModel.getOrDefault(model, 0) == 0;
            if (idle) {
                readyMillisByModel.remove(model);
            }
            return idle;
        });
    }

    private void serve(Socket socket, int start) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (isUp(start)) {
                Http.Message request = Http.readRequest(socket.getInputStream());
                awaitLight();
                if (request == null || !isUp(start)) {
                    return;
                }
                OutputStream out = socket.getOutputStream();
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("X-Instance-Id", id);
                if (!request.header("X-Request-Id").isEmpty()) {
                    headers.put("X-Request-Id", request.header("X-Request-Id"));
                }
                String expected = request.header("X-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    headers.put("X-Not-Executed", "1");
                    Http.writeResponse(out, "421 Misdirected Request", headers, new byte[0]);
                } else if (request.target().equals("/report")) {
                    headers.put("Content-Type", "application/json");
                    String report = "{" + fields() + ",\"busy\":" + isBusy()
                            + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":200681,\"handles\":0}";
                    Http.writeResponse(out, "200 OK", headers, report.getBytes(StandardCharsets.UTF_8));
                } else if (request.target().equals("/order")) {
                    Http.writeResponse(out, order(request.text()) + " X", headers, new byte[0]);
                } else if (request.target().equals("/health")) {
                    Http.writeResponse(out, "200 OK", headers, new byte[0]);
                } else {
                    run(socket, request, headers, start);
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private synchronized int order(String json) {
        String model = field(json, "model");
        String what = field(json, "opKind") + " " + model + " " + field(json, "adapter");
        int status = execute(json, model);
        Order order =
                new Order(recorder.nowMillis(), field(json, "holder"), Long.parseLong(field(json, "fence")), what, status);
        orders.add(order);
        recorder.write(
                "order at %s: %s, holder %s, fence %d, precondition %s, answered %d",
                id, what.strip(), order.holder(), order.fence(), field(json, "precondition"), status);
        return status;
    }

    private int execute(String json, String model) {
        String precondition = field(json, "precondition");
        if (isBusy() || (!precondition.isEmpty() && Long.parseLong(precondition) != seq)) {
            return 409;
        }
        if (field(json, "opKind").equals("load")) {
            if (readyMillisByModel.containsKey(model)) {
                return 200;
            }
            long loadMillis = onDisk.contains(model) ? DISK_LOAD_MILLIS : STORE_LOAD_MILLIS;
            readyMillisByModel.put(model, recorder.nowMillis() + loadMillis);
            onDisk.add(model);
        } else if (readyMillisByModel.containsKey(model)) {
            unloading.add(model);
        } else {
            return 200;
        }
        seq++;
        return 202;
    }

    private synchronized boolean admit(String model) {
        int running = runsByModel.values().stream().mapToInt(Integer::intValue).sum();
        boolean loaded = readyMillisByModel.getOrDefault(model, Long.MAX_VALUE) <= recorder.nowMillis();
        if (!loaded || unloading.contains(model) || running >= slots) {
            return false;
        }
        runsByModel.merge(model, 1, Integer::sum);
        return true;
    }

    private void run(Socket socket, Http.Message request, Map<String, String> headers, int start) throws IOException {
        OutputStream out = socket.getOutputStream();
        String model = request.header("X-Model");
        boolean loaded;
        synchronized (this) {
            loaded = readyMillisByModel.getOrDefault(model, Long.MAX_VALUE) <= recorder.nowMillis();
        }
        if (!loaded || !request.header("Kv-From").isEmpty() || !admit(model)) {
            headers.put("X-Not-Executed", "1");
            Http.writeResponse(out, loaded ? "503 Full" : "421 Misdirected Request", headers, new byte[0]);
            return;
        }
        try {
            String lastEventId = request.header("Last-Event-Id");
            int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
            recorder.write(
                    "run of %s at %s, version %s, from event %d", request.header("X-Request-Id"), id, version, first);
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n")
                    .append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int number = first; number <= eventCount; number++) {
                if (isClosedWithin(socket, eventMillis) || !isUp(start)) {
                    Http.reset(socket);
                    return;
                }
                awaitLight();
                if (!isUp(start)) {
                    return;
                }
                String event = "id: " + number + "\ndata: " + id + " " + version + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        } finally {
            synchronized (this) {
                if (startCount == start) {
                    runsByModel.merge(model, -1, Integer::sum);
                }
            }
        }
    }

    /** Works for some time, or until the channel is closed, and returns whether it is. */
    private static boolean isClosedWithin(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(Math.max(1, millis));
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(0);
            }
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
