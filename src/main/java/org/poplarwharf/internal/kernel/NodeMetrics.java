package org.poplarwharf.internal.kernel;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;
import org.poplarwharf.FailureCode;

/**
 * Records the metrics of a node, with one typed method per event.
 *
 * <p>Invariant: the number of metrics is bounded; tenants, classes, targets and cells beyond a limit share the name
 * {@code other}. Thread-safe.
 */
public final class NodeMetrics {
    /** The maximum number of tenants, and of classes, with their own histograms. */
    static final int MAX_HISTOGRAM_NAMES = 64;

    /** The maximum number of targets, and of cells, with their own metrics. */
    static final int MAX_SERIES_NAMES = 256;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final MetricRegistry registry;
    private final MetricNameLimiter tenantNames = new MetricNameLimiter(MAX_HISTOGRAM_NAMES);
    private final MetricNameLimiter classNames = new MetricNameLimiter(MAX_HISTOGRAM_NAMES);
    private final MetricNameLimiter targetNames = new MetricNameLimiter(MAX_SERIES_NAMES);
    private final MetricNameLimiter cellNames = new MetricNameLimiter(MAX_SERIES_NAMES);
    private final Map<String, DoubleAdder> idleSecondsByTarget = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> leaseStatesByCell = new ConcurrentHashMap<>();

    /** The state of a cell's lease as seen by a node. */
    public enum LeaseState {
        FOLLOWING,
        CLAIMING,
        HOLDING
    }

    /** The progress or result of a load or unload order. */
    public enum LoadOutcome {
        ORDERED,
        LOADED,
        REJECTED,
        UNLOADED
    }

    /** Creates the metrics of a node and registers the process metrics. */
    public NodeMetrics(MetricRegistry registry) {
        this.registry = registry;
        registerProcessMetrics();
    }

    /** Records how long a request waited in the queue for a permit. */
    public void recordQueueWait(String tenant, String requestClass, long millis) {
        record("wait_millis", tenant, requestClass, millis);
    }

    /** Records the time from the arrival of a request to its first token or byte. */
    public void recordTimeToFirstToken(String tenant, String requestClass, long millis) {
        record("first_token_millis", tenant, requestClass, millis);
    }

    /** Records the time between two tokens. */
    public void recordInterTokenLatency(String tenant, String requestClass, long millis) {
        record("between_tokens_millis", tenant, requestClass, millis);
    }

    /** Records the time from the arrival of a request to the end of its response. */
    public void recordRequestDuration(String tenant, String requestClass, long millis) {
        record("whole_request_millis", tenant, requestClass, millis);
    }

    /** Counts a request that was rejected or failed. */
    public void countRejection(FailureCode code) {
        registry.counter(MetricRegistry.name("refusals", code.text())).inc();
    }

    /** Sets the state of a cell's lease. */
    public void setLeaseState(String cell, LeaseState state) {
        leaseStatesByCell
                .computeIfAbsent(cellNames.limitName(cell), this::registerLeaseState)
                .set(state.ordinal());
    }

    /** Counts the progress or result of a load or unload order. */
    public void countLoadOutcome(LoadOutcome outcome) {
        registry.counter(MetricRegistry.name("loads", outcome.name().toLowerCase(java.util.Locale.ROOT)))
                .inc();
    }

    /** Adds the time that accelerators had a model loaded but no requests. The time is counted once per accelerator. */
    public void addIdleAcceleratorTime(String target, int accelerators, long millis) {
        idleSecondsByTarget
                .computeIfAbsent(targetNames.limitName(target), this::registerIdleSeconds)
                .add(accelerators * millis / MILLIS_PER_SECOND);
    }

    /** Adds to the bytes of control traffic sent. */
    public void addControlBytesSent(long bytes) {
        registry.counter("control_bytes.sent").inc(bytes);
    }

    /** Adds to the bytes of control traffic received. */
    public void addControlBytesReceived(long bytes) {
        registry.counter("control_bytes.received").inc(bytes);
    }

    /** Returns the counter of exceptions that no callback handled. */
    Counter unexpectedExceptions() {
        return registry.counter("unexpected_exceptions");
    }

    private void record(String name, String tenant, String requestClass, long millis) {
        long value = Math.max(0, millis);
        histogram(name, "tenant", tenantNames.limitName(tenant)).update(value);
        histogram(name, "class", classNames.limitName(requestClass)).update(value);
    }

    private Histogram histogram(String name, String dimension, String value) {
        return registry.histogram(
                MetricRegistry.name(name, dimension, value), () -> new Histogram(new HdrHistogramReservoir()));
    }

    private AtomicLong registerLeaseState(String cell) {
        AtomicLong state = new AtomicLong();
        registry.gauge(MetricRegistry.name("lease_state", cell), () -> (Gauge<Long>) state::get);
        return state;
    }

    private DoubleAdder registerIdleSeconds(String target) {
        DoubleAdder seconds = new DoubleAdder();
        registry.gauge(MetricRegistry.name("idle_accelerator_seconds", target), () -> (Gauge<Double>) seconds::sum);
        return seconds;
    }

    private void registerProcessMetrics() {
        registry.gauge("process.cpu_seconds", () -> (Gauge<Double>) NodeMetrics::cpuSeconds);
        registry.gauge("process.heap_bytes", () -> (Gauge<Long>) NodeMetrics::heapBytes);
    }

    private static double cpuSeconds() {
        return Optional.of(ManagementFactory.getOperatingSystemMXBean())
                .filter(OperatingSystemMXBean.class::isInstance)
                .map(OperatingSystemMXBean.class::cast)
                .map(bean -> bean.getProcessCpuTime() / NANOS_PER_SECOND)
                .orElse(0.0);
    }

    private static long heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
