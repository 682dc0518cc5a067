package org.poplarwharf.internal.holder;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.gateway.DecimalParser;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * Appends origins of streams to a topic of the platform's log in batches, which take the keys of a ring in turn.
 *
 * <p>Invariants: the topic keeps a bounded number of bytes. At most one append is under way. An origin is pending until the log
 * has acknowledged it; the version of a stream never changes, so it does no harm to append an origin twice or to read an old
 * one. Confined to the event loop.
 */
final class StreamOriginRing {
    static final String KEY_PREFIX = "origins-";

    /** Holds the batches of more than {@code StreamOrigins.RETENTION_MILLIS}. */
    private static final int SLOT_COUNT = 128;

    /** Below the log's limits of 262,144 bytes a record and 2 MB a call. */
    private static final int MAX_RECORD_BYTES = 200_000;

    private static final int MAX_RECORDS_PER_CALL_COUNT = 8;
    private static final int MAX_PENDING_COUNT = 200_000;

    /** The quotes and the comma, and up to two bytes for each character of an id. */
    private static final int ID_OVERHEAD_BYTES = 3;

    private static final int BYTES_PER_CHARACTER = 2;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String topic;
    private final KeyedLog platformLog;
    private final DecisionLog log;
    private final Deque<StreamOrigin> pending = new ArrayDeque<>();
    private int nextSlot;
    private boolean appending;

    StreamOriginRing(String topic, KeyedLog platformLog, DecisionLog log) {
        this.topic = topic;
        this.platformLog = platformLog;
        this.log = log;
    }

    /** Adds an origin to the next batch; drops the oldest one if too many are pending. */
    void add(StreamOrigin origin) {
        pending.addLast(origin);
        if (pending.size() > MAX_PENDING_COUNT) {
            pending.removeFirst();
        }
    }

    /** Drops the origins that are pending. */
    void clear() {
        pending.clear();
    }

    /** Continues after the slot that was written last. */
    void continueAfter(String latestKey) {
        slotOf(latestKey).ifPresent(slot -> nextSlot = ((int) slot + 1) % SLOT_COUNT);
    }

    /** Returns the slot of a key of the ring; empty if another writer has written it. */
    static OptionalLong slotOf(String key) {
        OptionalLong slot = key.startsWith(KEY_PREFIX)
                ? DecimalParser.parse(key.substring(KEY_PREFIX.length()))
                : OptionalLong.empty();
        return slot.isPresent() && slot.getAsLong() < SLOT_COUNT ? slot : OptionalLong.empty();
    }

    /** Appends what is pending, as far as it fits into one call. */
    void append() {
        if (appending || pending.isEmpty()) {
            return;
        }
        List<StreamOrigin> taken = new ArrayList<>();
        List<KeyedLog.Entry> entries = new ArrayList<>();
        while (!pending.isEmpty() && entries.size() < MAX_RECORDS_PER_CALL_COUNT) {
            List<StreamOrigin> batch = takeBatch();
            taken.addAll(batch);
            entries.add(new KeyedLog.Entry(KEY_PREFIX + nextSlot, encode(batch)));
            nextSlot = (nextSlot + 1) % SLOT_COUNT;
        }
        appending = true;
        platformLog.append(topic, entries, result -> {
            appending = false;
            switch (result) {
                case KeyedLog.Appended appended -> {
                    // The origins are on the log.
                }
                case KeyedLog.EndMoved moved -> retry(taken, "end moved");
                case KeyedLog.Restored restored -> retry(taken, "log restored");
                case KeyedLog.OutcomeUnknown unknown -> retry(taken, unknown.reason());
                case KeyedLog.Unavailable unavailable -> retry(taken, unavailable.reason());
            }
        });
    }

    private void retry(List<StreamOrigin> taken, String reason) {
        for (int i = taken.size() - 1; i >= 0 && pending.size() < MAX_PENDING_COUNT; i--) {
            pending.addFirst(taken.get(i));
        }
        log.log("stream-origins-append-failed", "reason", reason, "pending", pending.size());
    }

    private List<StreamOrigin> takeBatch() {
        List<StreamOrigin> batch = new ArrayList<>();
        long bytes = 0;
        while (!pending.isEmpty() && bytes < MAX_RECORD_BYTES) {
            StreamOrigin origin = pending.removeFirst();
            bytes += ID_OVERHEAD_BYTES
                    + (long) BYTES_PER_CHARACTER * origin.streamId().length();
            batch.add(origin);
        }
        return batch;
    }

    /** Encodes origins as lists of ids by service and version, since many ids have the same ones. */
    static byte[] encode(List<StreamOrigin> origins) {
        Map<String, Map<String, List<String>>> idsByVersion = new LinkedHashMap<>();
        origins.forEach(origin -> idsByVersion
                .computeIfAbsent(origin.service(), service -> new LinkedHashMap<>())
                .computeIfAbsent(origin.softwareVersion(), version -> new ArrayList<>())
                .add(origin.streamId()));
        try {
            return JSON.writeValueAsBytes(idsByVersion);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("origins of streams", e);
        }
    }

    /** Decodes origins; there are none if an incompatible release or another writer has written the record. */
    static List<StreamOrigin> decode(byte[] value) {
        List<StreamOrigin> origins = new ArrayList<>();
        try {
            for (Map.Entry<String, JsonNode> idsByVersion : JSON.readTree(value).properties()) {
                for (Map.Entry<String, JsonNode> ids : idsByVersion.getValue().properties()) {
                    for (JsonNode id : ids.getValue()) {
                        if (id.isTextual()) {
                            origins.add(new StreamOrigin(id.textValue(), idsByVersion.getKey(), ids.getKey()));
                        }
                    }
                }
            }
        } catch (IOException e) {
            return List.of();
        }
        return origins;
    }
}
