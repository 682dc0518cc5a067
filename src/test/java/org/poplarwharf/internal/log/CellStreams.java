package org.poplarwharf.internal.log;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** Makes streams of one cell over a fake log, with short times. */
final class CellStreams {
    static final String STREAM = CellRecord.streamName("main");
    static final StreamSettings SETTINGS = new StreamSettings(50, 20, 200, 2, 20, 1, 60_000, 1_000_000);

    private CellStreams() {}

    /** A stream with its state. */
    record Node(StreamParts parts, FoldingStream<CellRecord> stream, CellState state) {
        byte[] bytes() {
            return state.snapshot();
        }
    }

    static Node node(TestLoop loop, FakeEventLog log, String writerId, long incarnation, StreamSettings settings) {
        return loop.get(() -> {
            StreamParts parts = parts(loop, log, writerId, incarnation, settings);
            CellState state = new CellState();
            FoldingStream<CellRecord> stream = new FoldingStream<>(parts, CellRecord.class, state);
            stream.start();
            return new Node(parts, stream, state);
        });
    }

    static StreamParts parts(
            TestLoop loop, FakeEventLog log, String writerId, long incarnation, StreamSettings settings) {
        MonotonicClock clock = MonotonicClock.system();
        return new StreamParts(
                STREAM,
                writerId,
                incarnation,
                log,
                loop.eventloop(),
                clock,
                new AppendBudget(clock, 1_000),
                RandomSource.SPLIT_MIX_64.create(7L),
                new MetricRegistry(),
                settings);
    }
}
