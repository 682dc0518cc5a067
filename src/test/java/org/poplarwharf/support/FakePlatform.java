package org.poplarwharf.support;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The log of a platform in memory, over HTTP, as far as a gateway uses it, with faults that a test sets.
 *
 * <p>Invariant: a record that was acknowledged stays the newest of its key until another one is appended. Thread-safe.
 */
public final class FakePlatform implements AutoCloseable {
    /** Calls are answered 503 and do nothing. */
    public volatile boolean away;

    /** Each answer is this late. */
    public volatile long delayMillis;

    /** The share of calls that are carried out and whose connection ends without an answer. */
    public volatile double lostAnswers;

    /** Where positive, appends get no answer and are carried out this much later, if their condition still holds. */
    public volatile long lateAppendMillis;

    private final HttpServer server;
    private final Map<String, Topic> topics = new HashMap<>();

    private record Row(String key, byte[] value) {}

    private static final class Topic {
        final List<Row> rows = new ArrayList<>();
        int first;
    }

    public FakePlatform() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::answer);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes the newest record of a key, as the operator and the targets do; apostrophes stand for quotes. */
    public synchronized void put(String topic, String key, String value) {
        topic("keyed." + topic).rows.add(new Row(key, value.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Drops a key. */
    public synchronized void remove(String topic, String key) {
        topic("keyed." + topic).rows.add(new Row(key, new byte[0]));
        notifyAll();
    }

    /** Forgets the history of all topics; the newest record of each key stays. */
    public synchronized void forgetHistory() {
        topics.values().forEach(topic -> topic.first = topic.rows.size());
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, unused -> new Topic());
    }

    private void answer(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getQuery().split("&")) {
            query.put(pair.split("=")[0], pair.split("=")[1]);
        }
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (away) {
            send(exchange, 503, new byte[0]);
            return;
        }
        try {
            Thread.sleep(delayMillis);
            carryOut(exchange, query, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            exchange.close();
        }
    }

    private void carryOut(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        String topic = query.get("topic");
        switch (exchange.getRequestURI().getPath()) {
            case "/log-newest" -> send(exchange, 200, newest(topic));
            case "/log-read" -> read(exchange, query);
            default -> append(exchange, topic, Integer.parseInt(query.get("at")), body);
        }
    }

    private synchronized byte[] newest(String name) {
        List<Row> rows = topic(name).rows;
        Map<String, String> items = new LinkedHashMap<>();
        for (int i = 0; i < rows.size(); i++) {
            items.remove(rows.get(i).key());
            if (rows.get(i).value().length > 0) {
                items.put(
                        rows.get(i).key(),
                        "{\"key\":\"" + rows.get(i).key() + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(rows.get(i).value()) + "\",\"offset\":" + i + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + rows.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        Topic topic;
        synchronized (this) {
            topic = topic(query.get("topic"));
            while (topic.rows.size() <= from && System.nanoTime() < endNanos) {
                wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            }
        }
        if (from < topic.first) {
            send(exchange, 410, ("{\"first\":" + topic.first + "}").getBytes(StandardCharsets.UTF_8));
        } else {
            send(exchange, 200, records(topic, from));
        }
    }

    private synchronized byte[] records(Topic topic, int from) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.rows.size());
        out.writeLong(topic.first);
        for (Row row : topic.rows.subList(Math.min(from, topic.rows.size()), topic.rows.size())) {
            byte[] key = row.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + row.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(row.value());
        }
        return bytes.toByteArray();
    }

    private void append(HttpExchange exchange, String topic, int at, byte[] body)
            throws IOException, InterruptedException {
        if (lateAppendMillis > 0) {
            Thread.sleep(lateAppendMillis);
            append(topic, at, body);
            exchange.close();
            return;
        }
        int status = append(topic, at, body) ? 200 : 412;
        send(exchange, status, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private synchronized boolean append(String name, int at, byte[] body) {
        Topic topic = topic(name);
        if (topic.rows.size() != at) {
            return false;
        }
        ByteBuffer buffer = ByteBuffer.wrap(body);
        byte[] record = new byte[buffer.getInt()];
        buffer.get(record);
        int keyLength = record[0];
        byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
        topic.rows.add(new Row(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
        notifyAll();
        return true;
    }

    private void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        if (!away && ThreadLocalRandom.current().nextDouble() < lostAnswers) {
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
