package org.poplarwharf.internal.state;

import org.poplarwharf.internal.log.RecordStream.Applied;

/**
 * What a part of the state decided on a record. Invariant: an accepted record needs no reason. Immutable and
 * thread-safe.
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
