package org.poplarwharf.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/** A caller's connection to a gateway, byte for byte. For one thread. */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;

    /** A caller waits this much longer than it says, so that late answers are seen. */
    private static final long PATIENCE_MILLIS = 3_000;

    final String process;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final LongSupplier clock;
    private boolean usable = true;

    CallerConnection(String process, int port, LongSupplier clock) throws IOException {
        this.process = process;
        this.clock = clock;
        socket.connect(new InetSocketAddress(SoakGateway.HOST, port), CONNECT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    boolean usable() {
        return usable;
    }

    /** Sends a request and reads its answer, as far as one comes. */
    Call call(String id, CallKind kind, String path, String model) {
        long sentMillis = clock.getAsLong();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Map<String, String> headers = new HashMap<>();
        int status = 0;
        boolean complete = false;
        try {
            socket.getOutputStream().write(request(id, kind, path, model));
            long endMillis = sentMillis + kind.timeoutMillis + PATIENCE_MILLIS;
            status = Integer.parseInt(line(endMillis).split(" ")[1]);
            for (String line = line(endMillis); !line.isEmpty(); line = line(endMillis)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            body(headers, body, endMillis);
            complete = true;
            usable = !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        } catch (IOException | RuntimeException e) {
            usable = false;
        }
        return new Call(
                id,
                kind,
                path,
                model,
                process,
                sentMillis,
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
            // It was closed by the other end.
        }
    }

    private static byte[] request(String id, CallKind kind, String path, String model) {
        String body = "body of " + id;
        String asked = model.isEmpty()
                ? ""
                : "X-Model: " + model + "\r\nX-Token-Counts: 100,50\r\nX-Prompt-Prefix: aa:60," + id + ":40\r\n";
        return ("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                        + kind.timeoutMillis + "\r\n" + asked + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    private void body(Map<String, String> headers, ByteArrayOutputStream body, long endMillis) throws IOException {
        if (headers.containsKey("content-length")) {
            copy(Integer.parseInt(headers.get("content-length")), body, endMillis);
            return;
        }
        while (true) {
            int length = Integer.parseInt(line(endMillis), 16);
            copy(length, body, endMillis);
            line(endMillis);
            if (length == 0) {
                return;
            }
        }
    }

    private void copy(int length, ByteArrayOutputStream to, long endMillis) throws IOException {
        for (int i = 0; i < length; i++) {
            to.write(read(endMillis));
        }
    }

    private String line(long endMillis) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = read(endMillis); next != '\n'; next = read(endMillis)) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int read(long endMillis) throws IOException {
        socket.setSoTimeout((int) Math.max(1, endMillis - clock.getAsLong()));
        int next = in.read();
        if (next < 0) {
            throw new EOFException("the connection has ended");
        }
        return next;
    }
}
