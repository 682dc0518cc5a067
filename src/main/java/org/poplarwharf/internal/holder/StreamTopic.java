package org.poplarwharf.internal.holder;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.SnapshotReader;

/** The topic of the platform's log in which lease holders record what is needed to continue streams. */
final class StreamTopic {
    static final String NAME = "poplarwharf-streams";
    static final String STATEMENT_KEY = "versions";

    /** What log lines call a record. */
    static final String RECORD_NAME = "stream-record";

    private static final byte[] NO_VALUE = {};

    private StreamTopic() {}

    /** The latest records of the topic, which is in the given era of the log. Immutable and thread-safe. */
    record Content(List<KeyedLog.KeyedRecord> records, long era) {
        /** Returns the records of origins, oldest first. */
        List<KeyedLog.KeyedRecord> originRecords() {
            return records.stream()
                    .filter(record -> StreamOriginRing.slotOf(record.key()).isPresent())
                    .sorted(Comparator.comparingLong(KeyedLog.KeyedRecord::offset))
                    .toList();
        }

        /** Returns the origins that are recorded, oldest first; of an id that began several streams, the latest. */
        List<StreamOrigin> origins() {
            LinkedHashMap<String, StreamOrigin> latestById = new LinkedHashMap<>();
            originRecords().stream()
                    .flatMap(record -> StreamOriginRing.decode(record.value()).stream())
                    .forEach(origin -> latestById.putLast(origin.streamId(), origin));
            return List.copyOf(latestById.values());
        }

        /** Returns the versions that may have begun streams, if a holder has stated them in this era. */
        Optional<VersionStatement> statement() {
            return records.stream()
                    .filter(record -> record.key().equals(STATEMENT_KEY))
                    .max(Comparator.comparingLong(KeyedLog.KeyedRecord::offset))
                    .flatMap(record -> VersionStatement.decode(record.value()))
                    .filter(stated -> stated.era() == era);
        }
    }

    /**
     * Reads the topic, or as much of it as can be read; the result is empty if the log is unavailable.
     *
     * @param unusableRecords logs the records of other writers
     */
    static void read(KeyedLog platformLog, UnusableEntryLog unusableRecords, Consumer<Optional<Content>> callback) {
        SnapshotReader.read(
                platformLog,
                NAME,
                result -> callback.accept(
                        switch (result) {
                            case SnapshotReader.Snapshot snapshot -> {
                                logUnusable(snapshot, unusableRecords);
                                yield Optional.of(new Content(
                                        snapshot.records(), snapshot.end().era()));
                            }
                            case SnapshotReader.Failed failed -> Optional.empty();
                        }));
    }

    private static void logUnusable(SnapshotReader.Snapshot snapshot, UnusableEntryLog unusableRecords) {
        snapshot.unreadable().forEach(description -> unusableRecords.unusable(description, NO_VALUE, "unreadable"));
        snapshot.records().stream()
                .filter(record -> !isUsable(record))
                .forEach(record -> unusableRecords.unusable(
                        record.key(), record.value(), "neither origins nor versions of streams"));
    }

    private static boolean isUsable(KeyedLog.KeyedRecord record) {
        return record.key().equals(STATEMENT_KEY)
                ? VersionStatement.decode(record.value()).isPresent()
                : StreamOriginRing.slotOf(record.key()).isPresent()
                        && !StreamOriginRing.decode(record.value()).isEmpty();
    }
}
