package org.poplarwharf.internal.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;
import org.poplarwharf.internal.fleet.Route;

/**
 * Counters and latencies of a gateway. Invariant: the number of metrics does not grow with routes or targets; latencies
 * are by route kind. Thread-safe.
 */
public final class GatewayMetrics {
    private final MetricRegistry registry;

    public GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** A request looks for a target, for the first time or again. */
    void seeking() {
        registry.counter("gateway.sends").inc();
    }

    /** A request has ended with the named event. */
    void ended(Route route, String event, long millis) {
        registry.counter(MetricRegistry.name("gateway.ended", event)).inc();
        registry.histogram(
                        MetricRegistry.name(
                                "gateway.request_millis",
                                "kind",
                                route.kind().name().toLowerCase(java.util.Locale.ROOT)),
                        () -> new Histogram(new HdrHistogramReservoir()))
                .update(Math.max(0, millis));
    }

    /** Shows a value that is read when asked for. */
    public void gauge(String name, LongSupplier value) {
        registry.gauge(MetricRegistry.name("gateway", name), () -> (Gauge<Long>) value::getAsLong);
    }
}
