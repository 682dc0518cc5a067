package org.poplarwharf.internal.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.poplarwharf.internal.state.CellRecord.CallClaimed;
import org.poplarwharf.internal.state.CellRecord.CallEnded;
import org.poplarwharf.internal.state.CellRecord.CallReleased;
import org.poplarwharf.internal.state.CellStateView.CallClaim;

/**
 * Claims of calls that may not be repeated.
 *
 * <p>Invariants: a known key belongs to the attempt whose claim came first; an outcome is set once, by that attempt.
 * Belongs to the control thread.
 */
final class CallTable {
    private static final byte[] NO_ANSWER = {};

    private final TreeMap<String, CallClaim> claims = new TreeMap<>();

    List<CallClaim> all() {
        return List.copyOf(claims.values());
    }

    int count() {
        return claims.size();
    }

    Optional<CallClaim> find(String callKey) {
        return Optional.ofNullable(claims.get(callKey));
    }

    void restore(List<CallClaim> restored) {
        claims.clear();
        restored.forEach(claim -> claims.put(claim.callKey(), claim));
    }

    Verdict claim(long offset, CallClaimed record) {
        CallClaim first = claims.get(record.callKey());
        if (first != null) {
            return Verdict.refused("the key was claimed by attempt " + first.attemptId());
        }
        CallClaim claim = new CallClaim(
                record.callKey(),
                record.attemptId(),
                record.author(),
                record.bodyFingerprint(),
                offset,
                Optional.empty(),
                0,
                "",
                NO_ANSWER,
                false);
        claims.put(record.callKey(), claim);
        return Verdict.ACCEPTED;
    }

    Verdict release(CallReleased record) {
        Verdict verdict = checkOpen(record.callKey(), record.attemptId());
        if (verdict.accepted()) {
            claims.remove(record.callKey());
        }
        return verdict;
    }

    Verdict end(CallEnded record) {
        Verdict verdict = checkOpen(record.callKey(), record.attemptId());
        if (verdict.accepted()) {
            CallClaim claim = claims.get(record.callKey());
            claims.put(record.callKey(), ended(claim, record));
        }
        return verdict;
    }

    Verdict forget(long throughOffset) {
        claims.values().removeIf(claim -> claim.offset() <= throughOffset);
        return Verdict.ACCEPTED;
    }

    private Verdict checkOpen(String callKey, String attemptId) {
        CallClaim claim = claims.get(callKey);
        if (claim == null) {
            return Verdict.refused("the key is not claimed");
        }
        if (!claim.attemptId().equals(attemptId)) {
            return Verdict.refused("the key was claimed by attempt " + claim.attemptId());
        }
        return claim.outcome().isPresent() ? Verdict.refused("the call has ended") : Verdict.ACCEPTED;
    }

    private static CallClaim ended(CallClaim claim, CallEnded record) {
        return new CallClaim(
                claim.callKey(),
                claim.attemptId(),
                claim.author(),
                claim.bodyFingerprint(),
                claim.offset(),
                Optional.of(record.outcome()),
                record.status(),
                record.contentType() == null ? "" : record.contentType(),
                record.answerKept() && record.answer() != null ? record.answer() : NO_ANSWER,
                record.answerKept());
    }
}
