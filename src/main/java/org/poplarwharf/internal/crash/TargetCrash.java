package org.poplarwharf.internal.crash;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;

/**
 * A request, or a part of its prompt, that was in flight at a target when the target crashed. Immutable and thread-safe.
 *
 * @param suspectId see {@link Suspect#id}
 * @param targetStartedAtMillis start of the target's incarnation by its latest entry, in Unix milliseconds, or zero if
 *     not known
 * @param nodeId the node that had sent the request
 * @param ordinal number of earlier crashes by this suspect at that incarnation that the node has detected; a target may
 *     crash again before the entry of its restart is read
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TargetCrash(String suspectId, String targetId, long targetStartedAtMillis, String nodeId, int ordinal) {
    private static final String SEPARATOR = "/";
    private static final int PART_COUNT = 5;

    /** Returns the crash of a target under a part of a prompt, which is one crash for all nodes that had it in flight. */
    public static TargetCrash ofPromptPart(Suspect.PromptPart part, String targetId, long targetStartedAtMillis) {
        return new TargetCrash(part.id(), targetId, targetStartedAtMillis, "", 0);
    }

    /** Returns what was in flight. */
    public Suspect suspect() {
        return Suspect.fromId(suspectId);
    }

    /** Returns what tells the target's incarnation from others. */
    String incarnation() {
        return targetId + SEPARATOR + targetStartedAtMillis;
    }

    /** Returns the key under which this crash is recorded on the log. */
    String toKey() {
        return String.join(
                SEPARATOR,
                suspectId,
                Long.toString(targetStartedAtMillis),
                Integer.toString(ordinal),
                nodeId,
                targetId);
    }

    /** Parses a key; the result is empty if another writer has written it. */
    static Optional<TargetCrash> fromKey(String key) {
        String[] parts = key.split(SEPARATOR, PART_COUNT);
        if (parts.length < PART_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TargetCrash(
                    parts[0], parts[4], Long.parseLong(parts[1]), parts[3], Integer.parseInt(parts[2])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
