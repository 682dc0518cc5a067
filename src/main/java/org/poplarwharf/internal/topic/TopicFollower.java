package org.poplarwharf.internal.topic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the newest record of each key of one topic: a snapshot first, then the records behind it.
 *
 * <p>Invariant: a key never goes back to an older record, also when the log drops its history and answers from a
 * replica that lags. Confined to one event loop.
 */
public final class TopicFollower {
    private final String topic;
    private final KeyedLog log;
    private final Pace pace;
    private final Timer timer;
    private final Listener listener;
    private final Map<String, Long> offsets = new HashMap<>();
    private final List<KeyedLog.KeyedRecord> pages = new ArrayList<>();
    private Optional<Long> next = Optional.empty();
    private long snapshotEnd;
    private long highestOffset = -1;
    private boolean reachable = true;
    private int failures;

    /**
     * How often a topic is read.
     *
     * @param gapMillis the pause between two reads
     * @param waitMillis how long the log may hold a read back until there is a record
     * @param retryMillis the pause after a failed read; it doubles up to {@code maxRetryMillis}
     */
    public record Pace(long gapMillis, long waitMillis, long retryMillis, long maxRetryMillis) {}

    /** Runs a task later on the event loop. */
    @FunctionalInterface
    public interface Timer {
        void after(long delayMillis, Runnable task);
    }

    /** What a follower learns. */
    public interface Listener {
        /** A key has a newer record. */
        void put(String key, byte[] value);

        /** A key was dropped. */
        void drop(String key);

        /** All that the topic held at the start has been given. Comes again after each fresh snapshot. */
        void caughtUp();

        /** The log went away, or came back. */
        void reachable(boolean reachable, String reason);
    }

    public TopicFollower(String topic, KeyedLog log, Pace pace, Timer timer, Listener listener) {
        this.topic = topic;
        this.log = log;
        this.pace = pace;
        this.timer = timer;
        this.listener = listener;
    }

    /** Starts to follow; never ends by itself. */
    public void start() {
        if (next.isPresent()) {
            read(next.get());
        } else {
            pages.clear();
            page(Optional.empty());
        }
    }

    private void page(Optional<String> afterKey) {
        log.newest(topic, afterKey, answer -> {
            switch (answer) {
                case KeyedLog.Page page -> take(page, afterKey.isEmpty());
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void take(KeyedLog.Page page, boolean first) {
        if (first) {
            snapshotEnd = page.endOffset();
        }
        pages.addAll(page.records());
        if (page.more() && !page.records().isEmpty()) {
            page(Optional.of(page.records().get(page.records().size() - 1).key()));
            return;
        }
        if (snapshotEnd <= highestOffset) {
            retry("a snapshot older than what is known");
            return;
        }
        answered();
        Set<String> gone = new HashSet<>(offsets.keySet());
        for (KeyedLog.KeyedRecord record : pages) {
            gone.remove(record.key());
            apply(record);
        }
        gone.forEach(key -> {
            offsets.remove(key);
            listener.drop(key);
        });
        next = Optional.of(snapshotEnd);
        listener.caughtUp();
        timer.after(pace.gapMillis(), this::start);
    }

    private void read(long from) {
        log.read(topic, from, pace.waitMillis(), answer -> {
            switch (answer) {
                case KeyedLog.Records records -> take(records);
                case KeyedLog.Trimmed trimmed -> {
                    next = Optional.empty();
                    start();
                }
                case KeyedLog.Unavailable unavailable -> retry(unavailable.reason());
            }
        });
    }

    private void take(KeyedLog.Records records) {
        answered();
        next = Optional.of(records.nextOffset());
        boolean more =
                records.nextOffset() < records.endOffset() && !records.records().isEmpty();
        try {
            records.records().forEach(this::apply);
        } finally {
            // A listener that fails on one record must not end the reading of all that follow.
            timer.after(more ? 0 : pace.gapMillis(), this::start);
        }
    }

    private void apply(KeyedLog.KeyedRecord record) {
        if (offsets.getOrDefault(record.key(), -1L) >= record.offset()) {
            return;
        }
        highestOffset = Math.max(highestOffset, record.offset());
        if (record.drops()) {
            offsets.remove(record.key());
            listener.drop(record.key());
            return;
        }
        offsets.put(record.key(), record.offset());
        listener.put(record.key(), record.value());
    }

    private void answered() {
        failures = 0;
        if (!reachable) {
            reachable = true;
            listener.reachable(true, "answered");
        }
    }

    private void retry(String reason) {
        if (reachable) {
            reachable = false;
            listener.reachable(false, reason);
        }
        long delayMillis = Math.min(pace.maxRetryMillis(), pace.retryMillis() << Math.min(failures, 10));
        failures++;
        timer.after(delayMillis, this::start);
    }
}
