package org.poplarwharf.internal.log;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellState;

/** Creates streams of one cell on a {@link FakeEventLog}, with short timeouts. */
final class CellStreamNodes {
    static final String STREAM = CellRecord.streamName("main");
    static final StreamSettings SETTINGS = new StreamSettings(50, 20, 200, 2, 20, 1, 60_000, 1_000_000);

    private CellStreamNodes() {}

    /** A node with its stream and the state folded from it. */
    record Node(StreamContext context, FoldingStream<CellRecord> stream, CellState state) {
        byte[] snapshot() {
            return state.snapshot();
        }
    }

    static Node node(TestEventLoop loop, FakeEventLog log, String writerId, long incarnation, StreamSettings settings) {
        return loop.get(() -> {
            StreamContext context = context(loop, log, writerId, incarnation, settings);
            CellState state = new CellState();
            FoldingStream<CellRecord> stream = new FoldingStream<>(context, CellRecord.class, state);
            stream.start();
            return new Node(context, stream, state);
        });
    }

    static StreamContext context(
            TestEventLoop loop, FakeEventLog log, String writerId, long incarnation, StreamSettings settings) {
        MonotonicClock clock = MonotonicClock.system();
        return new StreamContext(
                STREAM,
                writerId,
                incarnation,
                log,
                loop.eventloop(),
                clock,
                new AppendRateLimiter(clock, 1_000),
                RandomSource.SPLIT_MIX_64.create(7L),
                new MetricRegistry(),
                settings);
    }
}
