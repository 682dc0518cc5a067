package org.poplarwharf.internal.topic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Reads a snapshot of a topic and then its new records, and passes the latest record of each key to a listener.
 *
 * <p>Invariant: within an era of the log, a key's record is never replaced by an older one, even if the log trims its
 * history and responds from a lagging replica. After a restore of the log, reading starts again with a snapshot. Confined to one event loop.
 */
public final class TopicFollower {
    private final String topic;
    private final KeyedLog log;
    private final PollTimings timings;
    private final Timer timer;
    private final Listener listener;
    private final BooleanSupplier enabled;
    private final Map<String, Long> offsets = new HashMap<>();
    private final List<KeyedLog.KeyedRecord> snapshotRecords = new ArrayList<>();
    private Optional<KeyedLog.Position> next = Optional.empty();
    private KeyedLog.Position snapshotEnd = new KeyedLog.Position(0, 0);
    private OptionalLong era = OptionalLong.empty();
    private long highestOffset = -1;
    private boolean reachable = true;
    private int consecutiveFailures;
    private long lastScheduledRead;
    private boolean delaysRead;
    private boolean broughtForward;

    /**
     * The delays between reads of a topic.
     *
     * @param pollDelayMillis delay between two reads
     * @param maxWaitMillis maximum time that the log may delay its response until there is a record; after a failed read
     *     the log responds at once until a read succeeds
     * @param retryDelayMillis delay after a failed read; doubles with each failure up to {@code maxRetryDelayMillis}
     */
    public record PollTimings(
            long pollDelayMillis, long maxWaitMillis, long retryDelayMillis, long maxRetryDelayMillis) {}

    /** Schedules tasks on the event loop. */
    @FunctionalInterface
    public interface Timer {
        void schedule(long delayMillis, Runnable task);
    }

    /** Receives the changes of a topic. */
    public interface Listener {
        /** Called if a key has a newer record. */
        void onUpdated(String key, byte[] value);

        /** Called if a key was deleted. */
        void onRemoved(String key);

        /** Called after all records of a snapshot have been passed on; called again for each new snapshot. */
        void onCaughtUp();

        /** Called after a restore of the log, before the records of the first snapshot that is read from it. */
        void onRestored();

        /** Called after each successful read. */
        default void onRead() {}

        /** Called if the log becomes unreachable, or reachable again. */
        void onReachabilityChanged(boolean reachable, String reason);
    }

    public TopicFollower(String topic, KeyedLog log, PollTimings timings, Timer timer, Listener listener) {
        this(topic, log, timings, timer, listener, () -> true);
    }

    /**
     * Creates a follower that pauses.
     *
     * @param enabled whether to read new records; the first snapshot is read in any case
     */
    public TopicFollower(
            String topic, KeyedLog log, PollTimings timings, Timer timer, Listener listener, BooleanSupplier enabled) {
        this.topic = topic;
        this.log = log;
        this.timings = timings;
        this.timer = timer;
        this.listener = listener;
        this.enabled = enabled;
    }

    /**
     * Reads the next records, or a snapshot if none has been read, and schedules the next read. Reading never stops.
     */
    public void start() {
        broughtForward &= !delaysRead;
        delaysRead = false;
        if (next.isPresent() && !enabled.getAsBoolean()) {
            scheduleRead(timings.pollDelayMillis());
        } else if (next.isPresent()) {
            readRecords(next.get());
        } else {
            snapshotRecords.clear();
            readSnapshotPage(Optional.empty());
        }
    }

    /**
     * Reads without the delay between two reads, because a new record is likely. At most every second read is brought
     * forward. Has no effect while a read is under way or has failed.
     */
    public void readSoon() {
        if (delaysRead && !broughtForward) {
            broughtForward = true;
            delaysRead = false;
            scheduleRead(0);
        }
    }

    private void scheduleNextRead() {
        delaysRead = true;
        scheduleRead(timings.pollDelayMillis());
    }

    private void scheduleRead(long delayMillis) {
        long number = ++lastScheduledRead;
        timer.schedule(delayMillis, () -> {
            if (number == lastScheduledRead) {
                start();
            }
        });
    }

    /** Returns the position before which all records have been passed on; empty while a snapshot is read. */
    public Optional<KeyedLog.Position> position() {
        return next;
    }

    private void readSnapshotPage(Optional<String> afterKey) {
        log.readLatest(topic, afterKey, result -> {
            switch (result) {
                case KeyedLog.Page page -> addSnapshotPage(page, afterKey.isEmpty());
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void addSnapshotPage(KeyedLog.Page page, boolean isFirst) {
        if (isFirst) {
            snapshotEnd = page.end();
        } else if (page.end().era() != snapshotEnd.era()) {
            start();
            return;
        }
        snapshotRecords.addAll(page.records());
        if (page.more() && !page.records().isEmpty()) {
            readSnapshotPage(
                    Optional.of(page.records().get(page.records().size() - 1).key()));
            return;
        }
        boolean isRestored = era.isPresent() && snapshotEnd.era() > era.getAsLong();
        if (!isRestored && snapshotEnd.offset() <= highestOffset) {
            retry("a snapshot older than what is known");
            return;
        }
        recordSuccess();
        if (isRestored) {
            offsets.replaceAll((key, offset) -> -1L);
            highestOffset = -1;
            listener.onRestored();
        }
        era = OptionalLong.of(snapshotEnd.era());
        Set<String> deletedKeys = new HashSet<>(offsets.keySet());
        for (KeyedLog.KeyedRecord record : snapshotRecords) {
            deletedKeys.remove(record.key());
            apply(record);
        }
        deletedKeys.forEach(key -> {
            offsets.remove(key);
            listener.onRemoved(key);
        });
        next = Optional.of(snapshotEnd);
        listener.onCaughtUp();
        scheduleNextRead();
    }

    private void readRecords(KeyedLog.Position from) {
        // A read that is delayed by the log fails as late as it would respond, so after an outage the next one would be
        // late.
        long maxWaitMillis = consecutiveFailures == 0 ? timings.maxWaitMillis() : 0;
        log.read(topic, from, maxWaitMillis, result -> {
            switch (result) {
                case KeyedLog.Records records -> applyRecords(records);
                case KeyedLog.Trimmed trimmed -> restart();
                case KeyedLog.Restored restored -> restart();
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void restart() {
        next = Optional.empty();
        start();
    }

    private void applyRecords(KeyedLog.Records records) {
        recordSuccess();
        next = Optional.of(records.next());
        boolean hasMore = records.next().offset() < records.endOffset()
                && !records.records().isEmpty();
        try {
            records.records().forEach(this::apply);
        } finally {
            // An exception of the listener for one record must not stop the reading of later records.
            if (hasMore) {
                scheduleRead(0);
            } else {
                scheduleNextRead();
            }
        }
    }

    private void apply(KeyedLog.KeyedRecord record) {
        if (offsets.getOrDefault(record.key(), -1L) >= record.offset()) {
            return;
        }
        highestOffset = Math.max(highestOffset, record.offset());
        if (record.isTombstone()) {
            offsets.remove(record.key());
            listener.onRemoved(record.key());
            return;
        }
        offsets.put(record.key(), record.offset());
        listener.onUpdated(record.key(), record.value());
    }

    private void recordSuccess() {
        consecutiveFailures = 0;
        listener.onRead();
        if (!reachable) {
            reachable = true;
            listener.onReachabilityChanged(true, "answered");
        }
    }

    private void retry(String reason) {
        if (reachable) {
            reachable = false;
            listener.onReachabilityChanged(false, reason);
        }
        long delayMillis = Math.min(
                timings.maxRetryDelayMillis(), timings.retryDelayMillis() << Math.min(consecutiveFailures, 10));
        consecutiveFailures++;
        scheduleRead(delayMillis);
    }
}
