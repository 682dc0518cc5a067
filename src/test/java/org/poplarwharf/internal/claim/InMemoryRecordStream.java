package org.poplarwharf.internal.claim;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** A cell's stream in memory over the real fold; a test says what happens to appends. */
final class InMemoryRecordStream implements RecordStream<CellRecord> {
    /** What happens to an append. */
    enum AppendMode {
        AVAILABLE,
        UNAVAILABLE,
        RESPONSE_LOST,
        DELAYED
    }

    final CellState state = new CellState();
    final List<CellRecord> appended = new ArrayList<>();
    AppendMode appendMode = AppendMode.AVAILABLE;
    private final List<Runnable> held = new ArrayList<>();
    private final List<Listener<CellRecord>> listeners = new ArrayList<>();
    private long nextOffset;

    @Override
    public Promise<Applied> commit(CellRecord record, long timeoutMillis) {
        return switch (appendMode) {
            case AVAILABLE -> Promise.of(apply(record));
            case UNAVAILABLE -> Promise.ofException(Reporter.logUnavailable("cell-c", 1, null));
            case RESPONSE_LOST -> {
                held.add(() -> apply(record));
                yield Promise.ofException(Reporter.logOutcomeUnknown("cell-c", null));
            }
            case DELAYED -> {
                SettablePromise<Applied> later = new SettablePromise<>();
                held.add(() -> later.set(apply(record)));
                yield later;
            }
        };
    }

    /** Lets appends that were held, or whose answer was lost, take effect. */
    void applyPendingAppends() {
        appendMode = AppendMode.AVAILABLE;
        List<Runnable> now = List.copyOf(held);
        held.clear();
        now.forEach(Runnable::run);
    }

    Applied apply(CellRecord record) {
        appended.add(record);
        Applied applied = state.apply(nextOffset++, record);
        listeners.forEach(listener -> listener.applied(record, applied));
        return applied;
    }

    @Override
    public long appliedOffset() {
        return nextOffset - 1;
    }

    @Override
    public long millisSinceAnswer() {
        return 0;
    }

    @Override
    public boolean caughtUp() {
        return true;
    }

    @Override
    public void onApplied(Listener<CellRecord> listener) {
        listeners.add(listener);
    }
}
