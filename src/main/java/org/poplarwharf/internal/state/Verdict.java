package org.poplarwharf.internal.state;

import org.poplarwharf.internal.log.RecordStream.Applied;

/**
 * What a part of the state decided on a record. Invariant: an accepted record needs no reason. Immutable and
 * thread-safe.
 */
record Verdict(boolean accepted, String reason) {
    static final Verdict ACCEPTED = new Verdict(true, "");

    static Verdict refused(String reason) {
        return new Verdict(false, reason);
    }

    Applied at(long offset) {
        return new Applied(offset, accepted, reason);
    }
}
