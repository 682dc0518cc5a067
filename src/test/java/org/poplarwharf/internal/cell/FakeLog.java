package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** One cell's stream in memory, followed by several nodes that can be paused, cut off or killed. */
final class FakeLog {
    private final List<CellRecord> records = new ArrayList<>();

    List<CellRecord> records() {
        return records;
    }

    Follower follower() {
        return new Follower();
    }

    /** One node's view of the stream. */
    final class Follower implements RecordStream<CellRecord> {
        final CellState state = new CellState();
        private final List<Pending> pending = new ArrayList<>();
        private final List<Pending> appended = new ArrayList<>();
        private final List<Listener<CellRecord>> listeners = new ArrayList<>();
        private int read;
        private boolean cut;
        private long silentMillis;

        private record Pending(CellRecord record, SettablePromise<ApplyResult> promise, int index) {}

        @Override
        public Promise<ApplyResult> commit(CellRecord record, long timeoutMillis) {
            SettablePromise<ApplyResult> promise = new SettablePromise<>();
            pending.add(new Pending(record, promise, -1));
            return promise;
        }

        void cut(boolean value) {
            cut = value;
            silentMillis = value ? Long.MAX_VALUE : 0;
        }

        /** Hands waiting records to the log. */
        void append() {
            if (cut) {
                return;
            }
            for (Pending waiting : List.copyOf(pending)) {
                appended.add(new Pending(waiting.record(), waiting.promise(), records.size()));
                records.add(waiting.record());
                pending.remove(waiting);
            }
        }

        /** Takes what the log holds. */
        void read() {
            while (!cut && read < records.size()) {
                int index = read;
                read++;
                CellRecord record = records.get(index);
                ApplyResult applied = state.apply(index, record);
                listeners.forEach(listener -> listener.onApplied(record, applied));
                for (Pending done : List.copyOf(appended)) {
                    if (done.index() == index) {
                        appended.remove(done);
                        done.promise().set(applied);
                    }
                }
            }
        }

        /** Times every commit out; what was appended may still be read. */
        void loseAnswers() {
            List<Pending> lost = new ArrayList<>(appended);
            appended.clear();
            lost.forEach(p -> p.promise().setException(Reporter.logOutcomeUnknown("cell", null)));
        }

        @Override
        public long appliedOffset() {
            return read - 1L;
        }

        @Override
        public long millisSinceLastResponse() {
            return silentMillis;
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
}
