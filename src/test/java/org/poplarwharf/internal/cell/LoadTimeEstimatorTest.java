package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Checks that loads of one kind do not distort the estimates for another: small adapters against models, and near
 * copies against the weight store.
 */
class LoadTimeEstimatorTest {
    private static final long ADAPTER_BYTES = 40L << 20;
    private static final long MODEL_BYTES = 17L << 30;
    private static final long FIXED_MILLIS = 600;
    private static final double BYTES_PER_MILLI = 2_000_000;

    @Test
    void loads_of_small_adapters_do_not_raise_the_estimate_for_a_model() {
        LoadTimeEstimator estimator = new LoadTimeEstimator();
        recordLoad(estimator, MODEL_BYTES, false, expectedMillis(MODEL_BYTES));
        for (int load = 0; load < 10; load++) {
            recordLoad(estimator, ADAPTER_BYTES + load, false, expectedMillis(ADAPTER_BYTES));
        }
        assertThat(estimator.estimateMillis(MODEL_BYTES, false))
                .isBetween(expectedMillis(MODEL_BYTES) * 8 / 10, expectedMillis(MODEL_BYTES) * 12 / 10);
        assertThat(estimator.estimateMillis(ADAPTER_BYTES, false)).isLessThan(2 * expectedMillis(ADAPTER_BYTES));
    }

    @Test
    void loads_from_near_copies_and_from_the_weight_store_are_estimated_separately() {
        LoadTimeEstimator estimator = new LoadTimeEstimator();
        recordLoad(estimator, MODEL_BYTES, false, 9_000);
        recordLoad(estimator, MODEL_BYTES, true, 1_000);
        assertThat(estimator.estimateMillis(MODEL_BYTES, false)).isEqualTo(9_000);
        assertThat(estimator.estimateMillis(MODEL_BYTES, true)).isEqualTo(1_000);
    }

    private static void recordLoad(LoadTimeEstimator estimator, long sizeBytes, boolean nearCopy, long millis) {
        SlotKey slot = new SlotKey("t", ArtifactId.model("m"));
        estimator.recordStart(slot, nearCopy, 100);
        estimator.recordSuccess(slot, sizeBytes, 100 + millis);
    }

    private static long expectedMillis(long sizeBytes) {
        return FIXED_MILLIS + Math.round(sizeBytes / BYTES_PER_MILLI);
    }
}
