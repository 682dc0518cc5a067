package org.poplarwharf.internal.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;

/**
 * A record of the stream on which operators publish configuration. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ConfigRecord.ChangeProposed.class, name = "change"),
    @JsonSubTypes.Type(value = ConfigRecord.ConfigCheckpoint.class, name = "checkpoint")
})
public sealed interface ConfigRecord {
    /** The name of the stream. */
    String STREAM = "config";

    /**
     * A change to some files. It is accepted when each file still has the version that it replaces and the merged
     * result is valid; otherwise it has no effect.
     *
     * @param changeId unique, made by the publisher; a repeated record with the same id is dropped
     * @param operator who publishes, for the history
     */
    record ChangeProposed(String changeId, String operator, List<FileChange> files) implements ConfigRecord {}

    /** A file's new content, or its removal when empty; {@code replacesVersion} is -1 for a new file. */
    record FileChange(String name, long replacesVersion, Optional<String> content) {}

    /**
     * The state after all records through an offset, for readers that the older records have aged out for.
     *
     * @param writers what the stream remembers of writers; empty when it is not known
     */
    record ConfigCheckpoint(
            long throughOffset, List<FileVersion> files, long version, List<String> recentChangeIds, byte[] writers)
            implements ConfigRecord {
        private static final byte[] NO_WRITERS = {};

        public ConfigCheckpoint {
            writers = writers == null ? NO_WRITERS : writers;
        }

        public ConfigCheckpoint(
                long throughOffset, List<FileVersion> files, long version, List<String> recentChangeIds) {
            this(throughOffset, files, version, recentChangeIds, NO_WRITERS);
        }
    }

    /**
     * An accepted file.
     *
     * @param version the offset of the change that set it
     * @param operator who published that change; empty when it is not known
     */
    record FileVersion(String name, long version, String content, String operator) {
        public FileVersion {
            operator = operator == null ? "" : operator;
        }

        public FileVersion(String name, long version, String content) {
            this(name, version, content, "");
        }
    }
}
