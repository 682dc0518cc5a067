package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class NodeMetricsTest {
    private final MetricRegistry registry = new MetricRegistry();
    private final NodeMetrics metrics = new NodeMetrics(registry);

    @Test
    void times_are_kept_for_each_tenant_and_each_class() {
        metrics.waited("branch.sofia", "lookup", 20);
        metrics.waited("audit", "lookup", 40);
        assertThat(registry.histogram("wait_millis.tenant.branch_sofia")
                        .getSnapshot()
                        .getMax())
                .isEqualTo(20);
        assertThat(registry.histogram("wait_millis.class.lookup").getCount()).isEqualTo(2);
    }

    @Test
    void names_beyond_the_limit_share_one_histogram() {
        for (int i = 0; i < NodeMetrics.HISTOGRAM_NAME_LIMIT + 10; i++) {
            metrics.wholeRequest("tenant" + i, "lookup", 1);
        }
        assertThat(registry.getHistograms()).hasSize(NodeMetrics.HISTOGRAM_NAME_LIMIT + 2);
        assertThat(registry.histogram("whole_request_millis.tenant.other").getCount())
                .isEqualTo(10);
    }

    @Test
    void refusals_and_idle_accelerators_are_counted() {
        metrics.refused(FailureCode.QUEUE_FULL);
        metrics.idleAccelerators("t1", 4, 500);
        metrics.lease("c1", NodeMetrics.LeaseState.HOLDING);
        assertThat(registry.counter("refusals.queue-full").getCount()).isEqualTo(1);
        assertThat(registry.getGauges().get("idle_accelerator_seconds.t1").getValue())
                .isEqualTo(2.0);
        assertThat(registry.getGauges().get("lease_state.c1").getValue()).isEqualTo(2L);
    }
}
