package org.poplarwharf.internal.holder;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The log of a platform in memory, over HTTP, as far as a gateway uses it. Thread-safe. */
final class FakePlatform implements AutoCloseable {
    volatile boolean away;
    private final HttpServer server;
    private final Map<String, List<Row>> topics = new HashMap<>();

    private record Row(String key, byte[] value) {}

    FakePlatform() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::answer);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String topic, String key, String value) {
        rows("keyed." + topic).add(new Row(key, value.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private List<Row> rows(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
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
        String topic = query.get("topic");
        switch (exchange.getRequestURI().getPath()) {
            case "/log-newest" -> send(exchange, 200, newest(topic));
            case "/log-read" -> send(exchange, 200, read(topic, Integer.parseInt(query.get("from"))));
            default -> append(exchange, topic, Integer.parseInt(query.get("at")), body);
        }
    }

    private synchronized byte[] newest(String topic) {
        List<Row> rows = rows(topic);
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

    private synchronized byte[] read(String topic, int from) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        List<Row> rows = rows(topic);
        out.writeLong(rows.size());
        out.writeLong(0);
        for (Row row : rows.subList(Math.min(from, rows.size()), rows.size())) {
            byte[] key = row.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + row.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(row.value());
        }
        return bytes.toByteArray();
    }

    private void append(HttpExchange exchange, String topic, int at, byte[] body) throws IOException {
        synchronized (this) {
            List<Row> rows = rows(topic);
            if (rows.size() == at) {
                ByteBuffer buffer = ByteBuffer.wrap(body);
                byte[] record = new byte[buffer.getInt()];
                buffer.get(record);
                int keyLength = record[0];
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
                rows.add(new Row(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
            } else {
                at = -1;
            }
        }
        send(exchange, at < 0 ? 412 : 200, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
