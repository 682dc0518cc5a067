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

    /** The state after all records through an offset, for readers that the older records have aged out for. */
    record ConfigCheckpoint(long throughOffset, List<FileVersion> files, long version, List<String> recentChangeIds)
            implements ConfigRecord {}

    /** An accepted file; {@code version} is the offset of the change that set it. */
    record FileVersion(String name, long version, String content) {}
}
