package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** An in-memory stream of one cell, followed by nodes that can be paused, disconnected or killed. */
final class FakeLog {
    private final List<CellRecord> records = new ArrayList<>();

    List<CellRecord> records() {
        return records;
    }

    Follower follower() {
        return new Follower();
    }

    /** The stream as one node sees it. */
    final class Follower implements RecordStream<CellRecord> {
        final CellState state = new CellState();
        private final List<PendingCommit> pending = new ArrayList<>();
        private final List<PendingCommit> appended = new ArrayList<>();
        private final List<Listener<CellRecord>> listeners = new ArrayList<>();
        private int readCount;
        private boolean disconnected;
        private long millisSinceResponse;

        private record PendingCommit(CellRecord record, SettablePromise<ApplyResult> promise, int index) {}

        @Override
        public Promise<ApplyResult> commit(CellRecord record, long timeoutMillis) {
            SettablePromise<ApplyResult> promise = new SettablePromise<>();
            pending.add(new PendingCommit(record, promise, -1));
            return promise;
        }

        void setDisconnected(boolean disconnected) {
            this.disconnected = disconnected;
            millisSinceResponse = disconnected ? Long.MAX_VALUE : 0;
        }

        /** Appends the pending records to the log. */
        void append() {
            if (disconnected) {
                return;
            }
            for (PendingCommit unsent : List.copyOf(pending)) {
                appended.add(new PendingCommit(unsent.record(), unsent.promise(), records.size()));
                records.add(unsent.record());
                pending.remove(unsent);
            }
        }

        /** Reads and applies all records of the log. */
        void read() {
            while (!disconnected && readCount < records.size()) {
                int index = readCount;
                readCount++;
                CellRecord record = records.get(index);
                ApplyResult applied = state.apply(index, record);
                listeners.forEach(listener -> listener.onApplied(record, applied));
                for (PendingCommit done : List.copyOf(appended)) {
                    if (done.index() == index) {
                        appended.remove(done);
                        done.promise().set(applied);
                    }
                }
            }
        }

        /** Fails the pending commits as on a timeout; the appended records may still be read. */
        void failPendingCommits() {
            List<PendingCommit> lost = new ArrayList<>(appended);
            appended.clear();
            lost.forEach(p -> p.promise().setException(Reporter.logOutcomeUnknown("cell", null)));
        }

        @Override
        public long appliedOffset() {
            return readCount - 1L;
        }

        @Override
        public long millisSinceLastResponse() {
            return millisSinceResponse;
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
