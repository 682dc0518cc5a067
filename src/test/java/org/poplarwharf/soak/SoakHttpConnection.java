package org.poplarwharf.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/** A caller's connection to a gateway that writes and parses HTTP/1.1 itself. Not thread-safe. */
final class SoakHttpConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Time that a caller waits beyond its announced timeout, so that late responses are recorded. */
    private static final long EXTRA_WAIT_MILLIS = 3_000;

    final String gatewayIncarnation;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final LongSupplier clock;
    private boolean isReusable = true;
    private boolean takesChunks = true;

    /** Connects a caller that takes no chunks, so that a response without a length ends with its connection. */
    static SoakHttpConnection withoutChunks(String gatewayIncarnation, int port, LongSupplier clock)
            throws IOException {
        SoakHttpConnection connection = new SoakHttpConnection(gatewayIncarnation, port, clock);
        connection.takesChunks = false;
        return connection;
    }

    SoakHttpConnection(String gatewayIncarnation, int port, LongSupplier clock) throws IOException {
        this(SoakGateway.HOST, gatewayIncarnation, port, clock);
    }

    /** Connects from a local address. */
    SoakHttpConnection(String localHost, String gatewayIncarnation, int port, LongSupplier clock) throws IOException {
        this.gatewayIncarnation = gatewayIncarnation;
        this.clock = clock;
        socket.bind(new InetSocketAddress(localHost, 0));
        socket.connect(new InetSocketAddress(SoakGateway.HOST, port), CONNECT_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    boolean isReusable() {
        return isReusable;
    }

    /** Sends a request and returns the call with whatever part of the response was received. */
    RecordedCall send(String id, CallKind kind, String path, String model) {
        return sendForEvents(id, kind, path, model, "", Integer.MAX_VALUE);
    }

    /** A request to be sent. */
    record Outgoing(String id, CallKind kind, String path, String model) {}

    /** Sends whole requests at once, one behind another, and returns their calls in order. */
    List<RecordedCall> sendPipelined(List<Outgoing> requests) {
        long sentMillis = clock.getAsLong();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        requests.forEach(request ->
                bytes.writeBytes(request(request.id(), request.kind(), request.path(), request.model(), "")));
        OptionalLong turnMillis = write(bytes.toByteArray()) ? OptionalLong.of(sentMillis) : OptionalLong.empty();
        List<RecordedCall> calls = new ArrayList<>();
        for (Outgoing request : requests) {
            RecordedCall call = receive(request, sentMillis, turnMillis, Integer.MAX_VALUE);
            calls.add(call);
            turnMillis = call.complete() ? OptionalLong.of(call.endMillis()) : OptionalLong.empty();
        }
        return calls;
    }

    /** Sends a request with additional headers, and leaves after a number of events. */
    RecordedCall sendForEvents(
            String id, CallKind kind, String path, String model, String extraHeaders, int maxEvents) {
        long sentMillis = clock.getAsLong();
        boolean isSent = write(request(id, kind, path, model, extraHeaders));
        OptionalLong turnMillis = isSent ? OptionalLong.of(sentMillis) : OptionalLong.empty();
        return receive(new Outgoing(id, kind, path, model), sentMillis, turnMillis, maxEvents);
    }

    private boolean write(byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads the response to a request unless its turn never came, and returns the call. */
    private RecordedCall receive(Outgoing request, long sentMillis, OptionalLong turnMillis, int maxEvents) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Map<String, String> headers = new HashMap<>();
        int status = 0;
        boolean complete = false;
        try {
            long endMillis = turnMillis.orElseThrow() + request.kind().timeoutMillis + EXTRA_WAIT_MILLIS;
            status = Integer.parseInt(readLine(endMillis).split(" ")[1]);
            for (String line = readLine(endMillis); !line.isEmpty(); line = readLine(endMillis)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            readBody(headers, body, maxEvents, endMillis);
            complete = true;
            isReusable = takesChunks && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        } catch (IOException | RuntimeException e) {
            isReusable = false;
        }
        return new RecordedCall(
                request.id(),
                request.kind(),
                request.path(),
                request.model(),
                gatewayIncarnation,
                sentMillis,
                turnMillis,
                clock.getAsLong(),
                status,
                headers.containsKey("x-response-seal"),
                headers.getOrDefault("x-request-id", ""),
                body.toString(StandardCharsets.UTF_8),
                complete);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The peer has already closed the connection.
        }
    }

    /** Returns the body that a caller sends with a request. */
    static String body(String id, String path) {
        return CrashingCaller.body(id, path);
    }

    private byte[] request(String id, CallKind kind, String path, String model, String extraHeaders) {
        String body = body(id, path);
        String modelHeaders = model.isEmpty()
                ? ""
                : "X-Model: " + model + "\r\nX-Token-Counts: 100,50\r\nX-Prompt-Prefix: "
                        + CrashingCaller.promptParts(id, path) + "\r\n";
        return ("POST " + path + (takesChunks ? " HTTP/1.1" : " HTTP/1.0") + "\r\nHost: 127.0.0.1\r\nX-Request-Id: "
                        + id + "\r\nX-Deadline-Ms: "
                        + kind.timeoutMillis + "\r\n" + modelHeaders + extraHeaders + "Content-Length: " + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    private void readBody(Map<String, String> headers, ByteArrayOutputStream body, int maxEvents, long endMillis)
            throws IOException {
        if (headers.containsKey("content-length")) {
            copyBytes(Integer.parseInt(headers.get("content-length")), body, endMillis);
            return;
        }
        if (!takesChunks) {
            copyToEnd(body, endMillis);
            return;
        }
        for (int events = 0; events < maxEvents; events = countEvents(body)) {
            int length = Integer.parseInt(readLine(endMillis), 16);
            copyBytes(length, body, endMillis);
            readLine(endMillis);
            if (length == 0) {
                return;
            }
        }
    }

    private static int countEvents(ByteArrayOutputStream body) {
        return body.toString(StandardCharsets.UTF_8).split("\n\n", -1).length - 1;
    }

    private void copyBytes(int length, ByteArrayOutputStream to, long endMillis) throws IOException {
        for (int i = 0; i < length; i++) {
            to.write(readByte(endMillis));
        }
    }

    /** Copies the body of a response that ends with its connection; a reset is no end. */
    private void copyToEnd(ByteArrayOutputStream to, long endMillis) throws IOException {
        for (int next = read(endMillis); next >= 0; next = read(endMillis)) {
            to.write(next);
        }
    }

    private String readLine(long endMillis) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(endMillis); next != '\n'; next = readByte(endMillis)) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int readByte(long endMillis) throws IOException {
        int next = read(endMillis);
        if (next < 0) {
            throw new EOFException("gateway closed the connection before the end of the response");
        }
        return next;
    }

    private int read(long endMillis) throws IOException {
        socket.setSoTimeout((int) Math.max(1, endMillis - clock.getAsLong()));
        return in.read();
    }
}
