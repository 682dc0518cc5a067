package org.poplarwharf.internal.holder;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.failure.Reporter;

/**
 * A holder's statement of the software versions that may have begun streams that can still be resumed, as of a position in the
 * topic of the targets' entries. It stays true: later versions are in the entries after the position. Immutable and thread-safe.
 *
 * @param era the era of the position; the statement says nothing about the log of another era
 * @param offset the entries before this offset are taken into account
 * @param versions all such versions of each service; services of which some may be unknown are absent
 */
record VersionStatement(long era, long offset, Map<String, Set<String>> versions) {
    private static final ObjectMapper JSON = new ObjectMapper();

    byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("a statement of software versions", e);
        }
    }

    private boolean isComplete() {
        return offset >= 0
                && versions != null
                && versions.values().stream().allMatch(known -> known != null && !known.contains(null));
    }

    /** Decodes a statement; the result is empty if an incompatible release or another writer has written it. */
    static Optional<VersionStatement> decode(byte[] value) {
        try {
            return Optional.ofNullable(JSON.readValue(value, VersionStatement.class))
                    .filter(VersionStatement::isComplete);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
