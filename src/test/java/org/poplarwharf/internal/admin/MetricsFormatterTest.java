package org.poplarwharf.internal.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.kernel.NodeMetrics;

class MetricsFormatterTest {
    @Test
    void prometheus_text_has_labels_for_tenant_class_code_cell_and_target() {
        MetricRegistry registry = new MetricRegistry();
        NodeMetrics metrics = new NodeMetrics(registry);
        metrics.recordQueueWait("audit", "lookup", 20);
        metrics.countRejection(FailureCode.QUEUE_FULL);
        metrics.countRejection(FailureCode.OVERLOADED);
        metrics.setLeaseState("saskatoon-1", NodeMetrics.LeaseState.HOLDING);
        metrics.addIdleAcceleratorTime("t1", 2, 1_000);
        String text = new String(new MetricsFormatter(registry).prometheusText(), StandardCharsets.UTF_8);
        assertThat(text)
                .contains("poplarwharf_tenant_wait_millis{tenant=\"audit\",quantile=\"0.5\"} 20.0")
                .contains("poplarwharf_class_wait_millis_count{class=\"lookup\"} 1")
                .contains("poplarwharf_refusals_total{code=\"queue-full\"} 1.0")
                .contains("poplarwharf_refusals_total{code=\"overloaded\"} 1.0")
                .contains("poplarwharf_lease_state{cell=\"saskatoon-1\"} 2.0")
                .contains("poplarwharf_idle_accelerator_seconds{target=\"t1\"} 2.0");
    }
}
