package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class NodeMetricsTest {
    private final MetricRegistry registry = new MetricRegistry();
    private final NodeMetrics metrics = new NodeMetrics(registry);

    @Test
    void queue_waits_are_recorded_per_tenant_and_per_class() {
        metrics.recordQueueWait("branch.sofia", "lookup", 20);
        metrics.recordQueueWait("audit", "lookup", 40);
        assertThat(registry.histogram("wait_millis.tenant.branch_sofia")
                        .getSnapshot()
                        .getMax())
                .isEqualTo(20);
        assertThat(registry.histogram("wait_millis.class.lookup").getCount()).isEqualTo(2);
    }

    @Test
    void names_beyond_the_limit_share_one_histogram() {
        for (int i = 0; i < NodeMetrics.MAX_HISTOGRAM_NAMES + 10; i++) {
            metrics.recordRequestDuration("tenant" + i, "lookup", 1);
        }
        assertThat(registry.getHistograms()).hasSize(NodeMetrics.MAX_HISTOGRAM_NAMES + 2);
        assertThat(registry.histogram("whole_request_millis.tenant.other").getCount())
                .isEqualTo(10);
    }

    @Test
    void rejections_idle_accelerator_time_and_lease_state_are_recorded() {
        metrics.countRejection(FailureCode.QUEUE_FULL);
        metrics.addIdleAcceleratorTime("t1", 4, 500);
        metrics.setLeaseState("c1", NodeMetrics.LeaseState.HOLDING);
        assertThat(registry.counter("refusals.queue-full").getCount()).isEqualTo(1);
        assertThat(registry.getGauges().get("idle_accelerator_seconds.t1").getValue())
                .isEqualTo(2.0);
        assertThat(registry.getGauges().get("lease_state.c1").getValue()).isEqualTo(2L);
    }
}
