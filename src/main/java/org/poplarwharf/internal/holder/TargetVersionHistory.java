package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * Reads which software versions the targets of each service have had since a position in the topic of their entries. Nodes
 * know targets only from these entries, so no node can have used another version since.
 *
 * <p>Invariant: the result is complete or empty. Confined to the event loop.
 */
final class TargetVersionHistory {
    /** Bounds the reads of a long history, of about 1 MB each. */
    private static final int MAX_READ_COUNT = 64;

    private final String targetTopic;
    private final KeyedLog platformLog;
    private final BiFunction<String, byte[], Optional<Target>> decoder;

    TargetVersionHistory(
            String targetTopic, KeyedLog platformLog, BiFunction<String, byte[], Optional<Target>> decoder) {
        this.targetTopic = targetTopic;
        this.platformLog = platformLog;
        this.decoder = decoder;
    }

    /** Passes the versions by service to the callback, or nothing if entries since the position are missing. */
    void read(KeyedLog.Position from, Consumer<Optional<Map<String, Set<String>>>> callback) {
        read(from, new HashMap<>(), 0, callback);
    }

    private void read(
            KeyedLog.Position from,
            Map<String, Set<String>> versions,
            int readCount,
            Consumer<Optional<Map<String, Set<String>>>> callback) {
        platformLog.read(targetTopic, from, 0, result -> {
            if (!(result instanceof KeyedLog.Records records)) {
                callback.accept(Optional.empty());
                return;
            }
            for (KeyedLog.KeyedRecord record : records.records()) {
                decoder.apply(record.key(), record.value())
                        .filter(target -> !record.isTombstone())
                        .ifPresent(target -> versions.computeIfAbsent(target.service(), service -> new HashSet<>())
                                .add(target.softwareVersion()));
            }
            if (records.next().offset() >= records.endOffset()) {
                callback.accept(Optional.of(versions));
            } else if (records.next().offset() == from.offset() || readCount + 1 == MAX_READ_COUNT) {
                callback.accept(Optional.empty());
            } else {
                read(records.next(), versions, readCount + 1, callback);
            }
        });
    }
}
