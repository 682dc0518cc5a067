package org.poplarwharf.internal.state;

import org.poplarwharf.internal.log.RecordStream.ApplyResult;

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

    ApplyResult toApplied(long offset) {
        return new ApplyResult(offset, accepted, reason);
    }
}
