package org.poplarwharf.internal.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;
import org.poplarwharf.internal.fleet.Route;

/**
 * Counters and latencies of a gateway. Thread-safe.
 *
 * <p>Invariant: the number of metrics does not grow with the number of routes, targets or requests; it grows with the
 * client accounts of the plan. Latencies are recorded by
 * route kind.
 */
public final class GatewayMetrics {
    private final MetricRegistry registry;

    public GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Counts an attempt to find a target for a request, whether the first or a retry. */
    void countAttempt() {
        registry.counter("gateway.sends").inc();
    }

    /** Counts bytes of a target, another node or the platform's log that are no response. */
    void countBrokenResponse() {
        registry.counter("gateway.broken_responses").inc();
    }

    /** Counts an attempt that is sent to another node, since this one reaches no target. */
    void countForwarded() {
        registry.counter("gateway.sends_to_nodes").inc();
    }

    /** Counts a request for a retry from the shared budget by its result. */
    void countRetryDecision(boolean granted) {
        registry.counter(MetricRegistry.name("gateway", granted ? "retries_granted" : "retries_denied"))
                .inc();
    }

    /** Counts a request that resumes a stream, by how its software version is known to this node. */
    void countResumedStream(String source) {
        registry.counter(MetricRegistry.name("gateway.streams_resumed", source)).inc();
    }

    /** Counts a change of the requests per second that a target takes. */
    public void countTargetLimitChange() {
        registry.counter("gateway.target_limit_changes").inc();
    }

    /** Counts a target that becomes brittle, states another number or ceases to be brittle. */
    void countBrittleTargetChange() {
        registry.counter("gateway.brittle_target_changes").inc();
    }

    /** Counts a request that is kept from a brittle target after its selection, or refused since all are brittle. */
    void countKeptFromBrittleTarget() {
        registry.counter("gateway.requests_kept_from_brittle_targets").inc();
    }

    /** Counts a target that begins or ceases to count as slow. */
    public void countTargetSlownessChange() {
        registry.counter("gateway.target_slowness_changes").inc();
    }

    /** Counts a request of a client account within its quota, and the units that it uses. */
    public void countAdmitted(String account, long units) {
        registry.counter(MetricRegistry.name("account_requests_admitted", account))
                .inc();
        registry.counter(MetricRegistry.name("account_units_used", account)).inc(units);
    }

    /** Counts a request of a client account that is refused since the account has used up its quota. */
    public void countOverQuota(String account) {
        registry.counter(MetricRegistry.name("account_requests_over_quota", account))
                .inc();
    }

    /** Counts a request or a connection that is refused or closed since its other end does not behave. */
    void countProtection(String event) {
        registry.counter(MetricRegistry.name("gateway.callers_limited", event)).inc();
    }

    /** Records the end of a request under the name of its final log event. */
    void recordEnd(Route route, String event, long millis) {
        registry.counter(MetricRegistry.name("gateway.ended", event)).inc();
        registry.histogram(
                        MetricRegistry.name(
                                "gateway.request_millis",
                                "kind",
                                route.kind().name().toLowerCase(java.util.Locale.ROOT)),
                        () -> new Histogram(new HdrHistogramReservoir()))
                .update(Math.max(0, millis));
    }

    /** Registers a gauge whose value is read on demand. */
    public void registerGauge(String name, LongSupplier value) {
        registry.gauge(MetricRegistry.name("gateway", name), () -> (Gauge<Long>) value::getAsLong);
    }
}
