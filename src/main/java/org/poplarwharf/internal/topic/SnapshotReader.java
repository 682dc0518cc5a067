package org.poplarwharf.internal.topic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads the latest records of all keys of a topic, page by page.
 *
 * <p>Invariants: each read but a few brings a key that no earlier page had, so that the number of reads is bounded by that of the
 * keys. A key that the log cannot have as it is known here, because its bytes are not UTF-8, is not sent back; the next
 * page then begins after the last key before it. Where no key leads on, the result has what was read, and says that it has a
 * gap. Confined to one event loop.
 */
public final class SnapshotReader {
    /** The number of reads that may be refused or bring no new key. */
    private static final int MAX_UNPROFITABLE_COUNT = 4;

    private static final char REPLACED_BYTES = '\ufffd';

    private final KeyedLog log;
    private final String topic;
    private final Consumer<Result> callback;
    private final List<KeyedLog.KeyedRecord> records = new ArrayList<>();
    private final List<String> unreadable = new ArrayList<>();
    private final Set<String> keys = new HashSet<>();
    private final Set<String> sentKeys = new HashSet<>();
    private final List<String> nextKeys = new ArrayList<>();
    private Optional<KeyedLog.Position> end = Optional.empty();
    private Optional<String> gap = Optional.empty();
    private int unprofitableCount;

    /** Whether the next keys are none that the log has sent. */
    private boolean isGuessing;

    /** The result of a read. */
    public sealed interface Result {}

    /**
     * The latest records; a key may have several.
     *
     * @param unreadable what is known of each record that cannot be read
     * @param end where the topic ended when the first page was read
     * @param gap why some keys may be missing
     */
    public record Snapshot(
            List<KeyedLog.KeyedRecord> records, List<String> unreadable, KeyedLog.Position end, Optional<String> gap)
            implements Result {}

    /** The topic could not be read. */
    public record Failed(String reason) implements Result {}

    private SnapshotReader(KeyedLog log, String topic, Consumer<Result> callback) {
        this.log = log;
        this.topic = topic;
        this.callback = callback;
    }

    /** Reads a topic and passes the result to the callback. */
    public static void read(KeyedLog log, String topic, Consumer<Result> callback) {
        new SnapshotReader(log, topic, callback).readPage(Optional.empty());
    }

    private void readPage(Optional<String> afterKey) {
        log.readLatest(topic, afterKey, result -> {
            switch (result) {
                case KeyedLog.Page page -> add(page);
                case KeyedLog.Refused refused -> handleRefusal(afterKey, refused.reason());
                case KeyedLog.Unavailable unavailable -> callback.accept(new Failed(unavailable.reason()));
            }
        });
    }

    private void handleRefusal(Optional<String> afterKey, String reason) {
        unprofitableCount++;
        if (afterKey.isEmpty()) {
            callback.accept(new Failed(reason));
        } else if (unprofitableCount >= MAX_UNPROFITABLE_COUNT) {
            gap = Optional.of(reason);
            finish();
        } else {
            readNextPage();
        }
    }

    private void add(KeyedLog.Page page) {
        if (end.filter(first -> first.era() != page.end().era()).isPresent()) {
            read(log, topic, callback);
            return;
        }
        end = end.or(() -> Optional.of(page.end()));
        int knownCount = keys.size();
        keys.addAll(page.keys());
        records.addAll(page.records());
        unreadable.addAll(page.unreadable());
        if (!page.more()) {
            finish();
            return;
        }
        if (keys.size() == knownCount) {
            handlePageWithoutNewKey();
            return;
        }
        nextKeys.clear();
        page.keys().stream().filter(SnapshotReader::isExact).forEach(nextKeys::add);
        nextKeys.removeAll(sentKeys);
        isGuessing = nextKeys.isEmpty();
        if (isGuessing) {
            continueBeyond(page.keys().get(page.keys().size() - 1));
        }
        readNextPage();
    }

    /**
     * Continues after keys that are greater than one that is known in part, since a log may order its keys. It need not, and a
     * key that equals one of these is passed over, so that the snapshot has a gap all the same.
     */
    private void continueBeyond(String key) {
        gap = Optional.of("no key to continue after");
        int knownLength = key.indexOf(REPLACED_BYTES);
        if (knownLength > 0) {
            String known = key.substring(0, knownLength);
            int last = known.codePointBefore(knownLength);
            int lastStart = knownLength - Character.charCount(last);
            nextKeys.add(
                    known.substring(0, lastStart) + Character.toString(Math.min(last + 1, Character.MAX_CODE_POINT)));
            nextKeys.add(known + Character.toString(Character.MAX_CODE_POINT));
            nextKeys.removeIf(next -> !isExact(next) || sentKeys.contains(next));
        }
    }

    private void handlePageWithoutNewKey() {
        gap = Optional.of("a page without a new key");
        unprofitableCount++;
        if (isGuessing && unprofitableCount < MAX_UNPROFITABLE_COUNT) {
            readNextPage();
        } else {
            finish();
        }
    }

    private void readNextPage() {
        if (nextKeys.isEmpty()) {
            gap = gap.or(() -> Optional.of("no key to continue after"));
            finish();
            return;
        }
        String key = nextKeys.remove(nextKeys.size() - 1);
        sentKeys.add(key);
        readPage(Optional.of(key));
    }

    /** Returns whether the key stands for the bytes that the log has. */
    private static boolean isExact(String key) {
        return !key.isEmpty()
                && key.indexOf(REPLACED_BYTES) < 0
                && StandardCharsets.UTF_8.newEncoder().canEncode(key);
    }

    private void finish() {
        callback.accept(new Snapshot(List.copyOf(records), List.copyOf(unreadable), end.orElseThrow(), gap));
    }
}
