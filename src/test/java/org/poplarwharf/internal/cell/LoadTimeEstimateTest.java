package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.plugins.ArtifactId;

/** What is learned from loads of adapters must not spoil what is known of models. */
class LoadTimeEstimateTest {
    private static final long ADAPTER_BYTES = 40L << 20;
    private static final long MODEL_BYTES = 17L << 30;
    private static final long BEFORE_MILLIS = 600;
    private static final double BYTES_PER_MILLI = 2_000_000;

    @Test
    void loads_of_small_adapters_do_not_make_a_model_look_slow() {
        LoadTimeEstimate estimate = new LoadTimeEstimate();
        load(estimate, MODEL_BYTES, false, millis(MODEL_BYTES));
        for (int load = 0; load < 10; load++) {
            load(estimate, ADAPTER_BYTES + load, false, millis(ADAPTER_BYTES));
        }
        assertThat(estimate.millis(MODEL_BYTES, false))
                .isBetween(millis(MODEL_BYTES) * 8 / 10, millis(MODEL_BYTES) * 12 / 10);
        assertThat(estimate.millis(ADAPTER_BYTES, false)).isLessThan(2 * millis(ADAPTER_BYTES));
    }

    @Test
    void loads_from_near_copies_and_from_the_store_are_kept_apart_by_how_they_started() {
        LoadTimeEstimate estimate = new LoadTimeEstimate();
        load(estimate, MODEL_BYTES, false, 9_000);
        load(estimate, MODEL_BYTES, true, 1_000);
        assertThat(estimate.millis(MODEL_BYTES, false)).isEqualTo(9_000);
        assertThat(estimate.millis(MODEL_BYTES, true)).isEqualTo(1_000);
    }

    private static void load(LoadTimeEstimate estimate, long sizeBytes, boolean nearCopy, long millis) {
        SlotKey slot = new SlotKey("t", ArtifactId.model("m"));
        estimate.started(slot, nearCopy, 100);
        estimate.loaded(slot, sizeBytes, 100 + millis);
    }

    private static long millis(long sizeBytes) {
        return BEFORE_MILLIS + Math.round(sizeBytes / BYTES_PER_MILLI);
    }
}
