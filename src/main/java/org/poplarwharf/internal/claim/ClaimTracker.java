package org.poplarwharf.internal.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;

/**
 * Tracks the claims on the stream of one cell: their age, the bytes of stored responses, and the withdrawn attempts of
 * this node.
 *
 * <p>Invariant: a claim that the fold accepted before this tracker was created counts as made at that time. Such a
 * claim is deleted later than its key expires, never earlier. Confined to the control thread.
 */
final class ClaimTracker implements RecordStream.Listener<CellRecord> {
    private static final int MAX_WITHDRAWN_ATTEMPTS = 100_000;

    private final MonotonicClock clock;
    private final RecordStream<CellRecord> stream;
    private final long keyValidityMillis;
    private final Deque<ClaimAge> claimAges = new ArrayDeque<>();
    private final Map<String, Integer> storedResponseBytesByKey = new HashMap<>();
    private final Set<String> withdrawnAttempts = new LinkedHashSet<>();
    private long storedResponseBytes;

    ClaimTracker(MonotonicClock clock, RecordStream<CellRecord> stream, long keyValidityMillis) {
        this.keyValidityMillis = keyValidityMillis;
        this.clock = clock;
        this.stream = stream;
        claimAges.add(new ClaimAge(stream.appliedOffset(), "", clock.nowMillis()));
        stream.addListener(this);
    }

    @Override
    public void onApplied(CellRecord record, RecordStream.ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case CellRecord.CallClaimed claimed -> trackClaim(claimed, applied.offset());
            case CellRecord.CallEnded ended -> trackResponse(ended);
            case CellRecord.CallsForgotten forgotten -> removeThrough(forgotten.throughOffset());
            default -> {
                /* the other records do not concern calls */
            }
        }
    }

    /** Marks an attempt that this node will never dispatch. If its claim is still accepted later, it is released. */
    void markWithdrawn(String attemptId) {
        withdrawnAttempts.add(attemptId);
        if (withdrawnAttempts.size() > MAX_WITHDRAWN_ATTEMPTS) {
            withdrawnAttempts.remove(withdrawnAttempts.iterator().next());
        }
    }

    boolean isWithdrawn(String attemptId) {
        return withdrawnAttempts.contains(attemptId);
    }

    long storedResponseBytes() {
        return storedResponseBytes;
    }

    /** Returns the offset of the last claim whose key has expired. */
    OptionalLong lastExpiredOffset() {
        long nowMillis = clock.nowMillis();
        long offset = -1;
        for (ClaimAge age : claimAges) {
            if (nowMillis - age.recordedMillis() < keyValidityMillis) {
                break;
            }
            offset = age.offset();
        }
        return offset < 0 ? OptionalLong.empty() : OptionalLong.of(offset);
    }

    void release(String callKey, String attemptId, long timeoutMillis) {
        stream.commit(new CellRecord.CallReleased(callKey, attemptId), timeoutMillis)
                .whenException(e -> {
                    /* the claim stays open, so a repeated call is not run again */
                });
    }

    private void trackClaim(CellRecord.CallClaimed claimed, long offset) {
        claimAges.add(new ClaimAge(offset, claimed.callKey(), clock.nowMillis()));
        if (isWithdrawn(claimed.attemptId())) {
            release(claimed.callKey(), claimed.attemptId(), ClaimService.COMMIT_TIMEOUT_MILLIS);
        }
    }

    private void trackResponse(CellRecord.CallEnded ended) {
        if (!ended.answerKept() || ended.answer() == null) {
            return;
        }
        int bytes = ended.answer().length;
        storedResponseBytesByKey.put(ended.callKey(), bytes);
        storedResponseBytes += bytes;
    }

    private void removeThrough(long throughOffset) {
        while (!claimAges.isEmpty() && claimAges.peek().offset() <= throughOffset) {
            Integer bytes = storedResponseBytesByKey.remove(claimAges.poll().callKey());
            storedResponseBytes -= bytes == null ? 0 : bytes;
        }
    }

    private record ClaimAge(long offset, String callKey, long recordedMillis) {}
}
