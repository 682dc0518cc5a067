package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

class NodeStopTest {
    private static final long DRAIN_MILLIS = 500;

    @Test
    void process_does_not_end_at_a_grace_period_that_was_raised_before_its_drain() {
        AtomicLong graceMillis = new AtomicLong(DRAIN_MILLIS / 5);
        AtomicBoolean drained = new AtomicBoolean();
        DecisionLog log = new DecisionLog("n", "z", new PrintStream(new ByteArrayOutputStream()));
        NodeStop stop = new NodeStop(graceMillis::get, MonotonicClock.system(), log);
        graceMillis.set(DRAIN_MILLIS * 10);

        stop.run(
                0,
                (signalledMillis, onDrained) -> CompletableFuture.delayedExecutor(DRAIN_MILLIS, TimeUnit.MILLISECONDS)
                        .execute(() -> {
                            drained.set(true);
                            onDrained.run();
                        }));

        assertThat(drained).isTrue();
    }

    @Test
    void process_that_was_told_to_stop_before_it_had_started_ends_within_the_rest_of_its_grace_period() {
        DecisionLog log = new DecisionLog("n", "z", new PrintStream(new ByteArrayOutputStream()));
        NodeStop stop = new NodeStop(() -> DRAIN_MILLIS, MonotonicClock.system(), log);
        long startMillis = MonotonicClock.system().nowMillis();

        stop.run(DRAIN_MILLIS, (signalledMillis, onDrained) -> {});

        assertThat(MonotonicClock.system().nowMillis() - startMillis).isLessThan(DRAIN_MILLIS);
    }
}
