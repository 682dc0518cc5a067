package org.poplarwharf.internal.topic;

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
 * history and responds from a lagging replica. After a restore of the log, reading starts again with a snapshot. A record that
 * cannot be read, or that the listener fails on, costs no other record. Confined to one event loop.
 */
public final class TopicFollower {
    /** Longer than a target that lives takes to write its entry again. */
    private static final long UNSEEN_RETENTION_MILLIS = 5_000;

    private final String topic;
    private final KeyedLog log;
    private final PollTimings timings;
    private final Timer timer;
    private final Listener listener;
    private final BooleanSupplier enabled;
    private final Map<String, Long> offsets = new HashMap<>();
    private Optional<KeyedLog.Position> next = Optional.empty();

    /** Where a replay of the retained records ends, which makes up for a snapshot with a gap. */
    private OptionalLong replayEnd = OptionalLong.empty();

    /** The known keys without a record since the latest snapshot began, in it or after it. */
    private final Set<String> unseenKeys = new HashSet<>();

    private long snapshotCount;

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

        /** Called with what is known of a record that cannot be read, such as its key or its offset. */
        default void onUnreadable(String description) {}

        /** Called if a snapshot may lack some keys. */
        default void onGap(String reason) {}

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
        if (next.isPresent() && replayEnd.isEmpty() && !enabled.getAsBoolean()) {
            scheduleRead(timings.pollDelayMillis());
        } else if (next.isPresent()) {
            readRecords(next.get());
        } else {
            SnapshotReader.read(log, topic, result -> {
                switch (result) {
                    case SnapshotReader.Snapshot snapshot -> applySnapshot(snapshot);
                    case SnapshotReader.Failed failed -> retry(failed.reason());
                }
            });
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
        return replayEnd.isEmpty() ? next : Optional.empty();
    }

    private void applySnapshot(SnapshotReader.Snapshot snapshot) {
        KeyedLog.Position end = snapshot.end();
        boolean isRestored = era.isPresent() && end.era() > era.getAsLong();
        if (!isRestored && end.offset() <= highestOffset) {
            retry("a snapshot older than what is known");
            return;
        }
        recordSuccess();
        if (isRestored) {
            offsets.replaceAll((key, offset) -> -1L);
            highestOffset = -1;
            listener.onRestored();
        }
        era = OptionalLong.of(end.era());
        snapshotCount++;
        unseenKeys.clear();
        unseenKeys.addAll(offsets.keySet());
        try {
            applyAll(snapshot.records(), snapshot.unreadable());
        } finally {
            snapshot.gap().ifPresentOrElse(reason -> beginReplay(end, reason), () -> completeSnapshot(end));
        }
    }

    private void completeSnapshot(KeyedLog.Position end) {
        try {
            removeUnseen();
        } finally {
            catchUp(end);
        }
    }

    /**
     * Reads all records that the log retains. A target writes its entry again and again, so that those that the snapshot lacks
     * are among them.
     */
    private void beginReplay(KeyedLog.Position end, String reason) {
        listener.onGap(reason);
        replayEnd = OptionalLong.of(end.offset());
        next = Optional.of(new KeyedLog.Position(end.era(), 0));
        scheduleRead(0);
    }

    private void catchUp(KeyedLog.Position position) {
        next = Optional.of(position);
        try {
            listener.onCaughtUp();
        } finally {
            scheduleNextRead();
        }
    }

    /** Ends a replay. A key that it hasn't shown may be one that the snapshot lacks, so that it is kept for a while. */
    private void endReplay(KeyedLog.Position position) {
        replayEnd = OptionalLong.empty();
        long number = snapshotCount;
        timer.schedule(UNSEEN_RETENTION_MILLIS, () -> {
            if (number == snapshotCount) {
                removeUnseen();
            }
        });
        catchUp(position);
    }

    private void removeUnseen() {
        Set<String> deletedKeys = Set.copyOf(unseenKeys);
        unseenKeys.clear();
        deletedKeys.forEach(key -> {
            offsets.remove(key);
            listener.onRemoved(key);
        });
    }

    private void readRecords(KeyedLog.Position from) {
        // A read that is delayed by the log fails as late as it would respond, so after an outage the next one would be
        // late.
        long maxWaitMillis = consecutiveFailures == 0 ? timings.maxWaitMillis() : 0;
        log.read(topic, from, maxWaitMillis, result -> {
            switch (result) {
                case KeyedLog.Records records -> applyRecords(records, from);
                case KeyedLog.Trimmed trimmed -> handleTrimmed(trimmed, from);
                case KeyedLog.Corrupt corrupt -> readSnapshotLater(corrupt.reason());
                case KeyedLog.Restored restored -> restart();
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void restart() {
        next = Optional.empty();
        replayEnd = OptionalLong.empty();
        start();
    }

    /** Reads a snapshot, which skips what cannot be read, with the delay after a failed read. */
    private void readSnapshotLater(String reason) {
        next = Optional.empty();
        replayEnd = OptionalLong.empty();
        retry(reason);
    }

    private void handleTrimmed(KeyedLog.Trimmed trimmed, KeyedLog.Position from) {
        if (replayEnd.isEmpty()) {
            restart();
            return;
        }
        recordSuccess();
        long firstOffset = trimmed.firstOffset().orElse(replayEnd.getAsLong());
        if (firstOffset > from.offset() && firstOffset < replayEnd.getAsLong()) {
            next = Optional.of(new KeyedLog.Position(from.era(), firstOffset));
            scheduleRead(0);
        } else {
            endReplay(new KeyedLog.Position(from.era(), replayEnd.getAsLong()));
        }
    }

    private void applyRecords(KeyedLog.Records records, KeyedLog.Position from) {
        recordSuccess();
        next = Optional.of(records.next());
        boolean hasMore =
                records.next().offset() < records.endOffset() && records.next().offset() > from.offset();
        try {
            applyAll(records.records(), records.unreadable());
        } finally {
            if (replayEnd.isPresent() && (!hasMore || records.next().offset() >= replayEnd.getAsLong())) {
                endReplay(records.next());
            } else if (hasMore) {
                scheduleRead(0);
            } else {
                scheduleNextRead();
            }
        }
    }

    /** Passes on all records, and then throws the first exception of the listener, if any. */
    private void applyAll(List<KeyedLog.KeyedRecord> records, List<String> unreadable) {
        unreadable.forEach(listener::onUnreadable);
        Optional<RuntimeException> firstException = Optional.empty();
        for (KeyedLog.KeyedRecord record : records) {
            try {
                apply(record);
            } catch (RuntimeException e) {
                firstException = firstException.or(() -> Optional.of(e));
            }
        }
        if (firstException.isPresent()) {
            throw firstException.get();
        }
    }

    private void apply(KeyedLog.KeyedRecord record) {
        unseenKeys.remove(record.key());
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
