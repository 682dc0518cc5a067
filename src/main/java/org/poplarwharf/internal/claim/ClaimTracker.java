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
 * What the claim service remembers of one cell's stream: the age of claims, the bytes of kept answers, and which of its
 * own attempts were withdrawn.
 *
 * <p>Invariant: a claim that the fold held before this began to listen counts as made at that moment, so it is forgotten
 * later than its key's validity, never earlier. Belongs to the control thread.
 */
final class ClaimTracker implements RecordStream.Listener<CellRecord> {
    private static final int MAX_WITHDRAWN = 100_000;

    private final MonotonicClock clock;
    private final RecordStream<CellRecord> stream;
    private final long keyValidityMillis;
    private final Deque<ClaimAge> ages = new ArrayDeque<>();
    private final Map<String, Integer> keptBytesByKey = new HashMap<>();
    private final Set<String> withdrawn = new LinkedHashSet<>();
    private long storedResponseBytes;

    ClaimTracker(MonotonicClock clock, RecordStream<CellRecord> stream, long keyValidityMillis) {
        this.keyValidityMillis = keyValidityMillis;
        this.clock = clock;
        this.stream = stream;
        ages.add(new ClaimAge(stream.appliedOffset(), "", clock.nowMillis()));
        stream.onApplied(this);
    }

    @Override
    public void applied(CellRecord record, RecordStream.Applied applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case CellRecord.CallClaimed claimed -> claimed(claimed, applied.offset());
            case CellRecord.CallEnded ended -> kept(ended);
            case CellRecord.CallsForgotten forgotten -> forgotten(forgotten.throughOffset());
            default -> {
                /* not about calls */
            }
        }
    }

    /** The attempt will never be dispatched here; a claim of it that still appears is released. */
    void markWithdrawn(String attemptId) {
        withdrawn.add(attemptId);
        if (withdrawn.size() > MAX_WITHDRAWN) {
            withdrawn.remove(withdrawn.iterator().next());
        }
    }

    boolean withdrawn(String attemptId) {
        return withdrawn.contains(attemptId);
    }

    long storedResponseBytes() {
        return storedResponseBytes;
    }

    /** Returns the offset of the last claim that has outlived its key's validity. */
    OptionalLong lastExpiredOffset() {
        long nowMillis = clock.nowMillis();
        long offset = -1;
        for (ClaimAge age : ages) {
            if (nowMillis - age.seenMillis() < keyValidityMillis) {
                break;
            }
            offset = age.offset();
        }
        return offset < 0 ? OptionalLong.empty() : OptionalLong.of(offset);
    }

    void release(String callKey, String attemptId, long timeoutMillis) {
        stream.commit(new CellRecord.CallReleased(callKey, attemptId), timeoutMillis)
                .whenException(e -> {
                    /* the claim stays open: a repeat is answered as not repeated */
                });
    }

    private void claimed(CellRecord.CallClaimed claimed, long offset) {
        ages.add(new ClaimAge(offset, claimed.callKey(), clock.nowMillis()));
        if (withdrawn(claimed.attemptId())) {
            release(claimed.callKey(), claimed.attemptId(), ClaimService.COMMIT_TIMEOUT_MILLIS);
        }
    }

    private void kept(CellRecord.CallEnded ended) {
        if (!ended.answerKept() || ended.answer() == null) {
            return;
        }
        int bytes = ended.answer().length;
        keptBytesByKey.put(ended.callKey(), bytes);
        storedResponseBytes += bytes;
    }

    private void forgotten(long throughOffset) {
        while (!ages.isEmpty() && ages.peek().offset() <= throughOffset) {
            Integer bytes = keptBytesByKey.remove(ages.poll().callKey());
            storedResponseBytes -= bytes == null ? 0 : bytes;
        }
    }

    private record ClaimAge(long offset, String callKey, long seenMillis) {}
}
