package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.gateway.DecimalParser;
import org.poplarwharf.internal.http.HttpCallResult;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * Reads and appends to keyed topics of the platform's log over HTTP.
 *
 * <p>Invariant: a response of an earlier era than one that was received before is not used. Confined to the event loop of its HTTP client.
 */
public final class PlatformKeyedLog implements KeyedLog {
    /** Topics with this prefix keep only the latest record of each key. */
    private static final String KEYED_TOPIC_PREFIX = "keyed.";

    /** The number of the log's era, which rises by one each time the log comes back from an older copy. */
    private static final String ERA = "Store-Era";

    private static final String EARLIER_ERA = "response of an earlier era";

    private static final int OK = 200;
    private static final int OFFSET_TRIMMED = 410;
    private static final int END_MOVED = 412;
    private static final int OFFSETS_HEADER_BYTES = 16;
    private static final byte[] NO_BODY = new byte[0];

    /**
     * The log usually responds within a few milliseconds. After this time it is considered too slow, and the call
     * fails.
     */
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;

    private final PooledHttpClient httpClient;
    private final InetSocketAddress address;
    private final List<RestoreListener> restoreListeners = new ArrayList<>();
    private OptionalLong era = OptionalLong.empty();

    public PlatformKeyedLog(PooledHttpClient httpClient, InetSocketAddress address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    @Override
    public void readLatest(String topic, Optional<String> afterKey, Consumer<LatestResult> callback) {
        String uri = "/log-newest?topic=" + KEYED_TOPIC_PREFIX + topic + "&part=0"
                + afterKey.map(key -> "&after=" + key).orElse("");
        get(
                uri,
                0,
                result -> callback.accept(
                        switch (result) {
                            case HttpCallResult.Response response -> readPage(response);
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse noResponse -> new Unavailable(noResponse.reason());
                        }));
    }

    @Override
    public void read(String topic, Position from, long waitMillis, Consumer<ReadResult> callback) {
        String uri = "/log-read?topic=" + KEYED_TOPIC_PREFIX + topic + "&part=0&from=" + from.offset()
                + (waitMillis > 0 ? "&waitMs=" + waitMillis : "");
        get(
                uri,
                waitMillis,
                result -> callback.accept(
                        switch (result) {
                            case HttpCallResult.Response response -> readRecords(response, from);
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse noResponse -> new Unavailable(noResponse.reason());
                        }));
    }

    @Override
    public void appendAt(String topic, Position end, String key, byte[] value, Consumer<AppendResult> callback) {
        append(topic, Optional.of(end), List.of(new Entry(key, value)), callback);
    }

    @Override
    public void append(String topic, List<Entry> entries, Consumer<AppendResult> callback) {
        append(topic, Optional.empty(), entries, callback);
    }

    private void append(
            String topic, Optional<Position> requiredEnd, List<Entry> entries, Consumer<AppendResult> callback) {
        String uri = "/log-append?topic=" + KEYED_TOPIC_PREFIX + topic + "&part=0"
                + requiredEnd.map(end -> "&at=" + end.offset()).orElse("");
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                address,
                HttpMethod.POST,
                uri,
                Map.of("Content-Type", "application/octet-stream"),
                encodeRecords(entries),
                RESPONSE_TIMEOUT_MILLIS,
                Optional.empty());
        httpClient.send(
                call,
                result -> callback.accept(
                        switch (result) {
                            case HttpCallResult.Response response -> readAppendResult(response, requiredEnd);
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse noResponse -> new OutcomeUnknown(noResponse.reason());
                        }));
    }

    private LatestResult readPage(HttpCallResult.Response response) {
        if (isOfEarlierEra(response)) {
            return new Unavailable(EARLIER_ERA);
        }
        return response.status() == OK ? decodePage(response.body(), currentEra()) : unexpectedStatus(response);
    }

    private ReadResult readRecords(HttpCallResult.Response response, Position from) {
        if (isOfEarlierEra(response)) {
            return new Unavailable(EARLIER_ERA);
        }
        if (from.era() != currentEra()) {
            return new Restored();
        }
        return switch (response.status()) {
            case OK -> decodeRecords(response.body(), from);
            case OFFSET_TRIMMED -> new Trimmed();
            default -> unexpectedStatus(response);
        };
    }

    private AppendResult readAppendResult(HttpCallResult.Response response, Optional<Position> requiredEnd) {
        if (isOfEarlierEra(response)) {
            return new OutcomeUnknown(EARLIER_ERA);
        }
        if (requiredEnd.filter(end -> end.era() != currentEra()).isPresent()) {
            return new Restored();
        }
        return switch (response.status()) {
            case OK ->
                requiredEnd
                        .<AppendResult>map(end -> new Appended(end.offset()))
                        .orElseGet(() -> decodeAppended(response.body()));
            case END_MOVED -> new EndMoved();
            default -> unexpectedStatus(response);
        };
    }

    /** Returns the latest era that was received, or zero on a log that states none. */
    private long currentEra() {
        return era.orElse(0);
    }

    /** Notes the era that a response states, and returns whether a later one was received before. */
    private boolean isOfEarlierEra(HttpCallResult.Response response) {
        OptionalLong stated = DecimalParser.parse(response.headers().get(ERA, ""));
        if (stated.isEmpty() || stated.equals(era)) {
            return false;
        }
        long previousEra = era.orElse(stated.getAsLong());
        if (stated.getAsLong() < previousEra) {
            return true;
        }
        boolean isRestored = era.isPresent();
        era = stated;
        if (isRestored) {
            restoreListeners.forEach(listener -> listener.restored(previousEra, currentEra()));
        }
        return false;
    }

    @Override
    public void onRestored(RestoreListener listener) {
        restoreListeners.add(listener);
    }

    private static byte[] encodeRecords(List<Entry> entries) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (Entry entry : entries) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            int length = 1 + key.length + entry.value().length;
            body.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
            body.write(key.length);
            body.writeBytes(key);
            body.writeBytes(entry.value());
        }
        return body.toByteArray();
    }

    private static AppendResult decodeAppended(byte[] body) {
        try {
            JsonNode response = JsonFields.parse(body, "the response to an append");
            return new Appended(response.path("offset").asLong(-1));
        } catch (PoplarWharfException e) {
            return new OutcomeUnknown(e.getMessage());
        }
    }

    private static Unavailable unexpectedStatus(HttpCallResult.Response response) {
        return new Unavailable("status " + response.status());
    }

    private void get(String uri, long waitMillis, Consumer<HttpCallResult> callback) {
        long timeoutMillis = waitMillis + RESPONSE_TIMEOUT_MILLIS;
        httpClient.send(
                new PooledHttpClient.Call(
                        address, HttpMethod.GET, uri, Map.of(), NO_BODY, timeoutMillis, Optional.empty()),
                callback);
    }

    private static LatestResult decodePage(byte[] body, long era) {
        try {
            JsonNode node = JsonFields.parse(body, "a page of the log");
            List<KeyedRecord> records = new ArrayList<>();
            for (JsonNode item : JsonFields.getObjects(node, "items")) {
                byte[] value = Base64.getDecoder().decode(item.path("value").asText(""));
                records.add(new KeyedRecord(
                        item.path("offset").asLong(-1), item.path("key").asText(""), value));
            }
            return new Page(
                    records,
                    JsonFields.getBoolean(node, "more"),
                    new Position(era, node.path("end").asLong(0)));
        } catch (PoplarWharfException | IllegalArgumentException e) {
            return new Unavailable("unreadable page: " + e.getMessage());
        }
    }

    /**
     * Decodes a response body: the end offset, the first retained offset, and then length-prefixed records. Each record
     * consists of the key's length in one byte, the key and the value.
     */
    private static ReadResult decodeRecords(byte[] body, Position from) {
        if (body.length < OFFSETS_HEADER_BYTES) {
            return new Unavailable("short answer");
        }
        ByteBuffer buffer = ByteBuffer.wrap(body);
        long endOffset = buffer.getLong();
        long firstOffset = buffer.getLong();
        if (firstOffset > from.offset()) {
            return new Trimmed();
        }
        List<KeyedRecord> records = new ArrayList<>();
        long offset = from.offset();
        while (buffer.remaining() >= Integer.BYTES) {
            int length = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                return new Unavailable("cut record");
            }
            decodeRecord(buffer.slice(buffer.position(), length), offset).ifPresent(records::add);
            buffer.position(buffer.position() + length);
            offset++;
        }
        return new Records(records, new Position(from.era(), offset), endOffset);
    }

    private static Optional<KeyedRecord> decodeRecord(ByteBuffer record, long offset) {
        int keyLength = record.hasRemaining() ? Byte.toUnsignedInt(record.get()) : Integer.MAX_VALUE;
        if (keyLength > record.remaining()) {
            return Optional.empty();
        }
        byte[] key = new byte[keyLength];
        record.get(key);
        byte[] value = new byte[record.remaining()];
        record.get(value);
        return Optional.of(new KeyedRecord(offset, new String(key, StandardCharsets.UTF_8), value));
    }
}
