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
final class CallClaimTable {
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

    FoldDecision claim(long offset, CallClaimed record) {
        CallClaim first = claims.get(record.callKey());
        if (first != null) {
            return FoldDecision.rejected("the key was claimed by attempt " + first.attemptId());
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
        return FoldDecision.ACCEPTED;
    }

    FoldDecision release(CallReleased record) {
        FoldDecision verdict = checkOpen(record.callKey(), record.attemptId());
        if (verdict.accepted()) {
            claims.remove(record.callKey());
        }
        return verdict;
    }

    FoldDecision end(CallEnded record) {
        FoldDecision verdict = checkOpen(record.callKey(), record.attemptId());
        if (verdict.accepted()) {
            CallClaim claim = claims.get(record.callKey());
            claims.put(record.callKey(), ended(claim, record));
        }
        return verdict;
    }

    FoldDecision forget(long throughOffset) {
        claims.values().removeIf(claim -> claim.offset() <= throughOffset);
        return FoldDecision.ACCEPTED;
    }

    private FoldDecision checkOpen(String callKey, String attemptId) {
        CallClaim claim = claims.get(callKey);
        if (claim == null) {
            return FoldDecision.rejected("the key is not claimed");
        }
        if (!claim.attemptId().equals(attemptId)) {
            return FoldDecision.rejected("the key was claimed by attempt " + claim.attemptId());
        }
        return claim.outcome().isPresent() ? FoldDecision.rejected("the call has ended") : FoldDecision.ACCEPTED;
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
