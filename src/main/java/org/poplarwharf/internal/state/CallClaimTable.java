package org.poplarwharf.internal.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.poplarwharf.internal.state.CellRecord.CallClaimed;
import org.poplarwharf.internal.state.CellRecord.CallEnded;
import org.poplarwharf.internal.state.CellRecord.CallReleased;
import org.poplarwharf.internal.state.CellStateView.CallClaim;

/**
 * Stores the claims of at-most-once calls.
 *
 * <p>Invariants: a known key belongs to the attempt whose claim came existing in log order. An outcome is set once, by
 * that attempt. Confined to the control thread.
 */
final class CallClaimTable {
    private static final byte[] NO_RESPONSE = {};

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
        CallClaim existing = claims.get(record.callKey());
        if (existing != null) {
            return FoldDecision.rejected("the key was claimed by attempt " + existing.attemptId());
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
                NO_RESPONSE,
                false);
        claims.put(record.callKey(), claim);
        return FoldDecision.ACCEPTED;
    }

    FoldDecision release(CallReleased record) {
        FoldDecision decision = requireOpenClaim(record.callKey(), record.attemptId());
        if (decision.accepted()) {
            claims.remove(record.callKey());
        }
        return decision;
    }

    FoldDecision end(CallEnded record) {
        FoldDecision decision = requireOpenClaim(record.callKey(), record.attemptId());
        if (decision.accepted()) {
            CallClaim claim = claims.get(record.callKey());
            claims.put(record.callKey(), withOutcome(claim, record));
        }
        return decision;
    }

    FoldDecision removeThrough(long throughOffset) {
        claims.values().removeIf(claim -> claim.offset() <= throughOffset);
        return FoldDecision.ACCEPTED;
    }

    private FoldDecision requireOpenClaim(String callKey, String attemptId) {
        CallClaim claim = claims.get(callKey);
        if (claim == null) {
            return FoldDecision.rejected("the key is not claimed");
        }
        if (!claim.attemptId().equals(attemptId)) {
            return FoldDecision.rejected("the key was claimed by attempt " + claim.attemptId());
        }
        return claim.outcome().isPresent() ? FoldDecision.rejected("the call has ended") : FoldDecision.ACCEPTED;
    }

    private static CallClaim withOutcome(CallClaim claim, CallEnded record) {
        return new CallClaim(
                claim.callKey(),
                claim.attemptId(),
                claim.author(),
                claim.bodyFingerprint(),
                claim.offset(),
                Optional.of(record.outcome()),
                record.status(),
                record.contentType() == null ? "" : record.contentType(),
                record.answerKept() && record.answer() != null ? record.answer() : NO_RESPONSE,
                record.answerKept());
    }
}
