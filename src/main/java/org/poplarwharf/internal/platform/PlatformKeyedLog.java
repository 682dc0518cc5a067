package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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

    /** The statuses of responses to a request that is itself at fault, so that it is of no use to repeat it. */
    private static final Set<Integer> REJECTIONS = Set.of(400, 404, 413, 414, 422, 431);

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
        QueryStringEncoder target = newTarget("/log-newest", topic);
        afterKey.ifPresent(key -> target.addParam("after", key));
        get(
                target,
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
        QueryStringEncoder target = newTarget("/log-read", topic);
        target.addParam("from", Long.toString(from.offset()));
        if (waitMillis > 0) {
            target.addParam("waitMs", Long.toString(waitMillis));
        }
        get(
                target,
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
        QueryStringEncoder target = newTarget("/log-append", topic);
        requiredEnd.ifPresent(end -> target.addParam("at", Long.toString(end.offset())));
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                address,
                HttpMethod.POST,
                target.toString(),
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

    private static QueryStringEncoder newTarget(String path, String topic) {
        QueryStringEncoder target = new QueryStringEncoder(path);
        target.addParam("topic", KEYED_TOPIC_PREFIX + topic);
        target.addParam("part", "0");
        return target;
    }

    private LatestResult readPage(HttpCallResult.Response response) {
        if (isOfEarlierEra(response)) {
            return new Unavailable(EARLIER_ERA);
        }
        if (response.status() == OK) {
            return LogPages.decode(response.body(), currentEra());
        }
        return REJECTIONS.contains(response.status())
                ? new Refused("status " + response.status())
                : unexpectedStatus(response);
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
            case OFFSET_TRIMMED -> new Trimmed(decodeFirstOffset(response.body()));
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

    private static OptionalLong decodeFirstOffset(byte[] body) {
        try {
            return JsonFields.getInteger(JsonFields.parse(body, "the response for a trimmed offset"), "first");
        } catch (PoplarWharfException e) {
            return OptionalLong.empty();
        }
    }

    private void get(QueryStringEncoder target, long waitMillis, Consumer<HttpCallResult> callback) {
        long timeoutMillis = waitMillis + RESPONSE_TIMEOUT_MILLIS;
        httpClient.send(
                new PooledHttpClient.Call(
                        address, HttpMethod.GET, target.toString(), Map.of(), NO_BODY, timeoutMillis, Optional.empty()),
                callback);
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
            return new Trimmed(OptionalLong.of(firstOffset));
        }
        List<KeyedRecord> records = new ArrayList<>();
        List<String> unreadable = new ArrayList<>();
        long offset = from.offset();
        while (buffer.remaining() >= Integer.BYTES) {
            int length = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                if (offset == from.offset()) {
                    return new Corrupt("a record of " + length + " bytes at offset " + offset);
                }
                break;
            }
            Optional<KeyedRecord> record = decodeRecord(buffer.slice(buffer.position(), length), offset);
            if (record.isEmpty()) {
                unreadable.add("offset " + offset);
            }
            record.ifPresent(records::add);
            buffer.position(buffer.position() + length);
            offset++;
        }
        return new Records(records, unreadable, new Position(from.era(), offset), endOffset);
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
