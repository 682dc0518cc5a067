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
final class FakeStream implements RecordStream<CellRecord> {
    /** What happens to an append. */
    enum Mode {
        WORKS,
        DOWN,
        ANSWER_LOST,
        HELD
    }

    final CellState state = new CellState();
    final List<CellRecord> appended = new ArrayList<>();
    Mode mode = Mode.WORKS;
    private final List<Runnable> held = new ArrayList<>();
    private final List<Listener<CellRecord>> listeners = new ArrayList<>();
    private long nextOffset;

    @Override
    public Promise<ApplyResult> commit(CellRecord record, long timeoutMillis) {
        return switch (mode) {
            case WORKS -> Promise.of(apply(record));
            case DOWN -> Promise.ofException(Reporter.logUnavailable("cell-c", 1, null));
            case ANSWER_LOST -> {
                held.add(() -> apply(record));
                yield Promise.ofException(Reporter.logOutcomeUnknown("cell-c", null));
            }
            case HELD -> {
                SettablePromise<ApplyResult> later = new SettablePromise<>();
                held.add(() -> later.set(apply(record)));
                yield later;
            }
        };
    }

    /** Lets appends that were held, or whose answer was lost, take effect. */
    void appear() {
        mode = Mode.WORKS;
        List<Runnable> now = List.copyOf(held);
        held.clear();
        now.forEach(Runnable::run);
    }

    ApplyResult apply(CellRecord record) {
        appended.add(record);
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
