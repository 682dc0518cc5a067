package org.poplarwharf.internal.kernel;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Logs entries that cannot be used: a line for each entry, for each change of it and for its end.
 *
 * <p>Invariant: the number of lines in a period and the memory are bounded, whatever another writer writes; lines over the bound
 * are counted, and the count is logged in the next period. Confined to one event loop.
 */
public final class UnusableEntryLog {
    private static final int MAX_LINE_COUNT = 100;
    private static final long PERIOD_MILLIS = 60_000;
    private static final int MAX_KNOWN_COUNT = 1_000;

    private final DecisionLog log;
    private final String entryName;
    private final String keyName;
    private final LongSupplier clock;
    private final Map<String, Integer> hashByKey = new LinkedHashMap<>();
    private long periodStartMillis = Long.MIN_VALUE / 2;
    private int lineCount;
    private long droppedCount;

    /**
     * Creates a log for entries of a kind.
     *
     * @param entryName what the lines call an entry
     * @param keyName what the lines call the key of an entry
     * @param clock states the time in milliseconds
     */
    public UnusableEntryLog(DecisionLog log, String entryName, String keyName, LongSupplier clock) {
        this.log = log;
        this.entryName = entryName;
        this.keyName = keyName;
        this.clock = clock;
    }

    /** Logs an entry, unless it has been logged with the same value and for the same reason. */
    public void unusable(String key, byte[] value, String reason) {
        int hash = 31 * Arrays.hashCode(value) + reason.hashCode();
        Integer previous = hashByKey.remove(key);
        hashByKey.put(key, hash);
        if (hashByKey.size() > MAX_KNOWN_COUNT) {
            hashByKey.remove(hashByKey.keySet().iterator().next());
        }
        if (previous == null || previous != hash) {
            write(entryName + "-unusable", keyName, key, "bytes", value.length, "reason", reason);
        }
    }

    /** Logs that an entry has ended or can be used, if it was logged as unusable. */
    public void ended(String key) {
        if (hashByKey.remove(key) != null) {
            write(entryName + "-no-longer-unusable", keyName, key);
        }
    }

    private void write(String event, Object... fields) {
        long nowMillis = clock.getAsLong();
        if (nowMillis - periodStartMillis >= PERIOD_MILLIS) {
            periodStartMillis = nowMillis;
            lineCount = 0;
            if (droppedCount > 0) {
                log.log(entryName + "-lines-dropped", "lines", droppedCount);
                droppedCount = 0;
            }
        }
        if (lineCount >= MAX_LINE_COUNT) {
            droppedCount++;
            return;
        }
        lineCount++;
        log.log(event, fields);
    }
}
