package org.poplarwharf.internal.state;

import org.poplarwharf.internal.log.RecordStream.ApplyResult;

/**
 * What a part of the state decided on a record. Invariant: an accepted record needs no reason. Immutable and
 * thread-safe.
 */
record Verdict(boolean accepted, String reason) {
    static final Verdict ACCEPTED = new Verdict(true, "");

    static Verdict refused(String reason) {
        return new Verdict(false, reason);
    }

    ApplyResult at(long offset) {
        return new ApplyResult(offset, accepted, reason);
    }
}
