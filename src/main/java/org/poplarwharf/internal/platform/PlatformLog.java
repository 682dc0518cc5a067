package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.http.HttpCallResult;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * The calls to the platform's log that keyed topics need.
 *
 * <p>Confined to the event loop of its caller.
 */
public final class PlatformLog implements KeyedLog {
    /** The prefix by which the platform knows a topic that keeps the newest record of each key. */
    private static final String KEYED_PREFIX = "keyed.";

    private static final int OK = 200;
    private static final int OFFSET_TRIMMED = 410;
    private static final int END_MOVED = 412;
    private static final int TWO_OFFSETS_BYTES = 16;
    private static final byte[] NO_BODY = new byte[0];

    /** Answers take a few milliseconds; one that takes longer than this is a slow log, and is waited for no more. */
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private final PooledHttpClient caller;
    private final InetSocketAddress address;

    public PlatformLog(PooledHttpClient caller, InetSocketAddress address) {
        this.caller = caller;
        this.address = address;
    }

    @Override
    public void newest(String topic, Optional<String> afterKey, Consumer<NewestAnswer> answer) {
        String query = "/log-newest?topic=" + KEYED_PREFIX + topic + "&part=0"
                + afterKey.map(key -> "&after=" + key).orElse("");
        get(
                query,
                0,
                outcome -> answer.accept(
                        switch (outcome) {
                            case HttpCallResult.Response answered ->
                                answered.status() == OK ? page(answered.body()) : refused(answered);
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse unanswered -> new Unavailable(unanswered.reason());
                        }));
    }

    @Override
    public void read(String topic, long fromOffset, long waitMillis, Consumer<ReadAnswer> answer) {
        String query = "/log-read?topic=" + KEYED_PREFIX + topic + "&part=0&from=" + fromOffset
                + (waitMillis > 0 ? "&waitMs=" + waitMillis : "");
        get(
                query,
                waitMillis,
                outcome -> answer.accept(
                        switch (outcome) {
                            case HttpCallResult.Response answered ->
                                switch (answered.status()) {
                                    case OK -> records(answered.body(), fromOffset);
                                    case OFFSET_TRIMMED -> new Trimmed();
                                    default -> refused(answered);
                                };
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse unanswered -> new Unavailable(unanswered.reason());
                        }));
    }

    @Override
    public void appendAt(String topic, long endOffset, String key, byte[] value, Consumer<AppendAnswer> answer) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(Integer.BYTES + 1 + keyBytes.length + value.length);
        body.putInt(1 + keyBytes.length + value.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(value);
        String target = "/log-append?topic=" + KEYED_PREFIX + topic + "&part=0&at=" + endOffset;
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                address,
                HttpMethod.POST,
                target,
                Map.of("Content-Type", "application/octet-stream"),
                body.array(),
                ANSWER_TIMEOUT_MILLIS);
        caller.send(
                call,
                outcome -> answer.accept(
                        switch (outcome) {
                            case HttpCallResult.Response answered ->
                                switch (answered.status()) {
                                    case OK -> new Appended(endOffset);
                                    case END_MOVED -> new EndMoved();
                                    default -> refused(answered);
                                };
                            case HttpCallResult.NotSent notSent -> new Unavailable(notSent.reason());
                            case HttpCallResult.NoResponse unanswered -> new OutcomeUnknown(unanswered.reason());
                        }));
    }

    private static Unavailable refused(HttpCallResult.Response answered) {
        return new Unavailable("status " + answered.status());
    }

    private void get(String target, long waitMillis, Consumer<HttpCallResult> outcome) {
        long timeoutMillis = waitMillis + ANSWER_TIMEOUT_MILLIS;
        caller.send(
                new PooledHttpClient.Call(address, HttpMethod.GET, target, Map.of(), NO_BODY, timeoutMillis), outcome);
    }

    private static NewestAnswer page(byte[] body) {
        try {
            JsonNode node = JsonFields.parse(body, "a page of the log");
            List<KeyedRecord> records = new ArrayList<>();
            for (JsonNode item : JsonFields.objects(node, "items")) {
                byte[] value = Base64.getDecoder().decode(item.path("value").asText(""));
                records.add(new KeyedRecord(
                        item.path("offset").asLong(-1), item.path("key").asText(""), value));
            }
            return new Page(
                    records, JsonFields.flag(node, "more"), node.path("end").asLong(0));
        } catch (PoplarWharfException | IllegalArgumentException e) {
            return new Unavailable("unreadable page: " + e.getMessage());
        }
    }

    /** Reads the end, the first offset kept, and then length-prefixed records of a key's length, key and value. */
    private static ReadAnswer records(byte[] body, long fromOffset) {
        if (body.length < TWO_OFFSETS_BYTES) {
            return new Unavailable("short answer");
        }
        ByteBuffer buffer = ByteBuffer.wrap(body);
        long end = buffer.getLong();
        long first = buffer.getLong();
        if (first > fromOffset) {
            return new Trimmed();
        }
        List<KeyedRecord> records = new ArrayList<>();
        long offset = fromOffset;
        while (buffer.remaining() >= Integer.BYTES) {
            int length = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                return new Unavailable("cut record");
            }
            record(buffer.slice(buffer.position(), length), offset).ifPresent(records::add);
            buffer.position(buffer.position() + length);
            offset++;
        }
        return new Records(records, offset, end);
    }

    private static Optional<KeyedRecord> record(ByteBuffer record, long offset) {
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
