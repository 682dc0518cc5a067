package org.poplarwharf.review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * The platform's store: keyed topics of one partition, which is all that the gateway uses. Loses nothing, and answers each
 * call after 4 ms. A gateway may have an address of its own, at which it reads the servers' addresses as those of its own
 * links to them. Thread-safe.
 */
final class Store implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;

    private record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private volatile boolean closed;

    /** Opens an address at which readers see the values that the operator returns. */
    String open(UnaryOperator<String> seen) throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        listeners.add(listener);
        Threads.start(() -> {
            while (!closed) {
                Socket socket = listener.accept();
                Threads.start(() -> serve(socket, seen));
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a record as the operator and the servers do; without a value it drops the key. */
    synchronized void put(String topic, String key, String value) {
        topic("keyed." + topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, unused -> new ArrayList<>());
    }

    private void serve(Socket socket, UnaryOperator<String> seen) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (!closed) {
                Http.Message request = Http.readRequest(socket.getInputStream());
                if (request == null) {
                    return;
                }
                Thread.sleep(ANSWER_MILLIS);
                Map<String, String> query = new HashMap<>();
                for (String pair : request.target().substring(request.target().indexOf('?') + 1).split("&")) {
                    query.put(pair.split("=")[0], pair.split("=")[1]);
                }
                String path = request.target().split("\\?")[0];
                int status = 200;
                byte[] body;
                if (path.equals("/log-newest")) {
                    body = newest(query, seen);
                } else if (path.equals("/log-read")) {
                    body = read(query, seen);
                    status = body == null ? 410 : 200;
                } else if (path.equals("/log-append")) {
                    body = append(query, request.body());
                    status = body == null ? 412 : 200;
                } else {
                    body = new byte[0];
                    status = 404;
                }
                byte[] whole = body == null ? "{}".getBytes(StandardCharsets.UTF_8) : body;
                Http.writeResponse(
                        socket.getOutputStream(), status + " X", Map.of("Store-Era", "1"), whole);
            }
        }
    }

    private synchronized byte[] newest(Map<String, String> query, UnaryOperator<String> seen) {
        List<Entry> entries = topic(query.get("topic"));
        Map<String, String> items = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            items.remove(entry.key());
            if (entry.value().length > 0) {
                items.put(
                        entry.key(),
                        "{\"key\":\"" + entry.key() + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(seenValue(entry, seen)) + "\",\"offset\":" + i
                                + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + entries.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] seenValue(Entry entry, UnaryOperator<String> seen) {
        String text = new String(entry.value(), StandardCharsets.UTF_8);
        return text.startsWith("{") ? seen.apply(text).getBytes(StandardCharsets.UTF_8) : entry.value();
    }

    private synchronized byte[] read(Map<String, String> query, UnaryOperator<String> seen)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        List<Entry> entries = topic(query.get("topic"));
        while (entries.size() <= from && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        if (from > entries.size()) {
            return null;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(from, entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = seenValue(entry, seen);
            out.writeInt(1 + key.length + value.length);
            out.writeByte(key.length);
            out.write(key);
            out.write(value);
        }
        return bytes.toByteArray();
    }

    private synchronized byte[] append(Map<String, String> query, byte[] body) {
        List<Entry> entries = topic(query.get("topic"));
        if (query.containsKey("at") && Integer.parseInt(query.get("at")) != entries.size()) {
            return null;
        }
        int offset = entries.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            int keyLength = Byte.toUnsignedInt(record[0]);
            entries.add(new Entry(
                    new String(record, 1, keyLength, StandardCharsets.UTF_8),
                    Arrays.copyOfRange(record, 1 + keyLength, record.length)));
        }
        notifyAll();
        return ("{\"offset\":" + offset + ",\"end\":" + entries.size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
