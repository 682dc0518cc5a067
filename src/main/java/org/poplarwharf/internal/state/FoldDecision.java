package org.poplarwharf.internal.state;

import org.poplarwharf.internal.log.RecordStream.Applied;

/**
 * The decision of the fold on a record: accepted, or rejected with a reason.
 *
 * <p>Invariant: an accepted record has an empty reason. Immutable and thread-safe.
 */
record FoldDecision(boolean accepted, String reason) {
    static final FoldDecision ACCEPTED = new FoldDecision(true, "");

    static FoldDecision rejected(String reason) {
        return new FoldDecision(false, reason);
    }

    Applied toApplied(long offset) {
        return new Applied(offset, accepted, reason);
    }
}
