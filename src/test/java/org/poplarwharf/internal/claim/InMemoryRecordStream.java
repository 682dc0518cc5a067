package org.poplarwharf.internal.claim;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** An in-memory stream of a cell that uses the real fold. A test sets how appends behave. */
final class InMemoryRecordStream implements RecordStream<CellRecord> {
    /** The behavior of the log for an append. */
    enum AppendMode {
        AVAILABLE,
        UNAVAILABLE,
        RESPONSE_LOST,
        DELAYED
    }

    final CellState state = new CellState();
    final List<CellRecord> appendedRecords = new ArrayList<>();
    AppendMode appendMode = AppendMode.AVAILABLE;
    private final List<Runnable> pendingAppends = new ArrayList<>();
    private final List<Listener<CellRecord>> listeners = new ArrayList<>();
    private long nextOffset;

    @Override
    public Promise<ApplyResult> commit(CellRecord record, long timeoutMillis) {
        return switch (appendMode) {
            case AVAILABLE -> Promise.of(apply(record));
            case UNAVAILABLE -> Promise.ofException(Reporter.logUnavailable("cell-c", 1, null));
            case RESPONSE_LOST -> {
                pendingAppends.add(() -> apply(record));
                yield Promise.ofException(Reporter.logOutcomeUnknown("cell-c", null));
            }
            case DELAYED -> {
                SettablePromise<ApplyResult> delayed = new SettablePromise<>();
                pendingAppends.add(() -> delayed.set(apply(record)));
                yield delayed;
            }
        };
    }

    /** Applies the appends that were delayed or whose response was lost. */
    void applyPendingAppends() {
        appendMode = AppendMode.AVAILABLE;
        List<Runnable> pending = List.copyOf(pendingAppends);
        pendingAppends.clear();
        pending.forEach(Runnable::run);
    }

    ApplyResult apply(CellRecord record) {
        appendedRecords.add(record);
        ApplyResult applied = state.apply(nextOffset++, record);
        listeners.forEach(listener -> listener.onApplied(record, applied));
        return applied;
    }

    @Override
    public long appliedOffset() {
        return nextOffset - 1;
    }

    @Override
    public long millisSinceLastResponse() {
        return 0;
    }

    @Override
    public boolean isCaughtUp() {
        return true;
    }

    @Override
    public void addListener(Listener<CellRecord> listener) {
        listeners.add(listener);
    }
}
