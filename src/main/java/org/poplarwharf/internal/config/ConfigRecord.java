package org.poplarwharf.internal.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;

/**
 * A record of the stream to which operators publish configuration changes. Immutable and thread-safe.
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
     * A proposed change to one or more files. It is accepted if each file still has the version to be replaced and the
     * merged configuration is valid; otherwise it has no effect.
     *
     * @param changeId unique id created by the publisher; a later record with the same id is rejected
     * @param operator who publishes the change, shown in the history
     */
    record ChangeProposed(String changeId, String operator, List<FileChange> files) implements ConfigRecord {}

    /** The new content of a file, or empty to remove it. {@code replacesVersion} is -1 for a new file. */
    record FileChange(String name, long replacesVersion, Optional<String> content) {}

    /**
     * The state after all records up to and including an offset, for readers that start after older records expired.
     *
     * @param writers the state that the stream keeps about writers; empty if unknown
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
     * A file of an accepted change.
     *
     * @param version the offset of the change that set the content
     * @param operator who published that change; empty if unknown
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
