package org.poplarwharf.internal.crash;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Records crashes on a topic of the platform's log, where they outlast all nodes, and passes on those that other nodes
 * have recorded.
 *
 * <p>Invariants: a record is appended until the log has acknowledged it; an append that is executed twice has the effect
 * of one. A removed record is not forgotten by the nodes that know it. Confined to the event loop.
 */
public final class CrashTopic implements TopicFollower.Listener {
    /** Crashes of one target are detected by all its lost runs within a few milliseconds and appended together. */
    private static final long BATCH_DELAY_MILLIS = 10;

    private static final long RETRY_DELAY_MILLIS = 400;
    private static final int MAX_BATCH_COUNT = 500;

    /** The log's limit for the length of a key. */
    private static final int MAX_KEY_BYTES = 255;

    /** The key alone describes the crash; a record without a value would delete it. */
    private static final byte[] PRESENT = {1};

    private static final byte[] TOMBSTONE = new byte[0];

    private final String topic;
    private final KeyedLog platformLog;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final UnusableEntryLog unusableRecords;
    private final Consumer<List<TargetCrash>> listener;
    private final Map<String, byte[]> pending = new LinkedHashMap<>();
    private boolean appendScheduled;

    /**
     * Creates a writer and reader of a topic.
     *
     * @param clock states the time in milliseconds
     * @param listener receives the crashes that are read from the topic
     */
    public CrashTopic(
            String topic,
            KeyedLog platformLog,
            TopicFollower.Timer timer,
            LongSupplier clock,
            DecisionLog log,
            Consumer<List<TargetCrash>> listener) {
        this.topic = topic;
        this.platformLog = platformLog;
        this.timer = timer;
        this.log = log;
        this.unusableRecords = new UnusableEntryLog(log, "crash-record", "key", clock);
        this.listener = listener;
    }

    /** Records crashes. */
    public void record(Collection<TargetCrash> crashes) {
        crashes.forEach(crash -> enqueue(crash.toKey(), PRESENT));
    }

    /** Deletes the records of crashes. */
    public void delete(Collection<TargetCrash> crashes) {
        crashes.forEach(crash -> enqueue(crash.toKey(), TOMBSTONE));
    }

    private void enqueue(String key, byte[] value) {
        if (key.getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES) {
            log.log("crash-not-recorded", "key", key, "reason", "key too long");
            return;
        }
        pending.put(key, value);
        scheduleAppend(BATCH_DELAY_MILLIS);
    }

    private void scheduleAppend(long delayMillis) {
        if (!appendScheduled && !pending.isEmpty()) {
            appendScheduled = true;
            timer.schedule(delayMillis, this::append);
        }
    }

    private void append() {
        List<KeyedLog.Entry> batch = new ArrayList<>();
        for (Map.Entry<String, byte[]> record : pending.entrySet()) {
            if (batch.size() == MAX_BATCH_COUNT) {
                break;
            }
            batch.add(new KeyedLog.Entry(record.getKey(), record.getValue()));
        }
        platformLog.append(topic, batch, result -> {
            appendScheduled = false;
            switch (result) {
                case KeyedLog.Appended appended -> {
                    batch.forEach(entry -> pending.remove(entry.key(), entry.value()));
                    scheduleAppend(0);
                }
                case KeyedLog.EndMoved moved -> retry("end moved");
                case KeyedLog.Restored restored -> retry("log restored");
                case KeyedLog.OutcomeUnknown unknown -> retry(unknown.reason());
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void retry(String reason) {
        log.log("crash-append-failed", "reason", reason, "pending", pending.size());
        scheduleAppend(RETRY_DELAY_MILLIS);
    }

    @Override
    public void onUpdated(String key, byte[] value) {
        TargetCrash.fromKey(key)
                .ifPresentOrElse(
                        crash -> listener.accept(List.of(crash)),
                        () -> unusableRecords.unusable(key, value, "names no crash"));
    }

    @Override
    public void onUnreadable(String description) {
        unusableRecords.unusable(description, TOMBSTONE, "unreadable");
    }

    @Override
    public void onRemoved(String key) {
        // Each node forgets a crash by its own clock; a restore of the log removes records too.
    }

    @Override
    public void onCaughtUp() {
        // Requests are served before the history is known.
    }

    @Override
    public void onRestored() {
        // The nodes that detected the lost crashes record them again.
    }

    @Override
    public void onReachabilityChanged(boolean reachable, String reason) {
        log.log(reachable ? "log-regained" : "log-lost", "topic", "crashes", "reason", reason);
    }
}
