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
 * Everything that a node measures, behind one typed method for each event.
 *
 * <p>Invariant: the number of metrics is bounded; tenants, classes and targets beyond a limit share the name
 * {@code other}. Thread-safe.
 */
public final class NodeMetrics {
    /** The most tenants, and the most classes, with histograms of their own. */
    static final int HISTOGRAM_NAME_LIMIT = 64;

    /** The most targets, and the most cells, with metrics of their own. */
    static final int SERIES_NAME_LIMIT = 256;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final MetricRegistry registry;
    private final BoundedNames tenants = new BoundedNames(HISTOGRAM_NAME_LIMIT);
    private final BoundedNames classes = new BoundedNames(HISTOGRAM_NAME_LIMIT);
    private final BoundedNames targets = new BoundedNames(SERIES_NAME_LIMIT);
    private final BoundedNames cells = new BoundedNames(SERIES_NAME_LIMIT);
    private final Map<String, DoubleAdder> idleSeconds = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> leaseStates = new ConcurrentHashMap<>();

    /** How a node stands towards a cell's lease. */
    public enum LeaseState {
        FOLLOWING,
        CLAIMING,
        HOLDING
    }

    /** How an order to load ended. */
    public enum LoadOutcome {
        ORDERED,
        LOADED,
        REJECTED,
        UNLOADED
    }

    /** Creates the metrics of a node and registers those of the process. */
    public NodeMetrics(MetricRegistry registry) {
        this.registry = registry;
        registerProcess();
    }

    /** A request waited this long for a place. */
    public void waited(String tenant, String requestClass, long millis) {
        record("wait_millis", tenant, requestClass, millis);
    }

    /** The first token, or byte, came this long after the request arrived. */
    public void firstToken(String tenant, String requestClass, long millis) {
        record("first_token_millis", tenant, requestClass, millis);
    }

    /** Two tokens came this far apart. */
    public void betweenTokens(String tenant, String requestClass, long millis) {
        record("between_tokens_millis", tenant, requestClass, millis);
    }

    /** A request was answered this long after it arrived. */
    public void wholeRequest(String tenant, String requestClass, long millis) {
        record("whole_request_millis", tenant, requestClass, millis);
    }

    /** A request was refused or failed. */
    public void refused(FailureCode code) {
        registry.counter(MetricRegistry.name("refusals", code.text())).inc();
    }

    /** The node's standing towards a cell's lease changed. */
    public void lease(String cell, LeaseState state) {
        leaseStates.computeIfAbsent(cells.bound(cell), this::registerLease).set(state.ordinal());
    }

    /** An order to load or unload moved on. */
    public void load(LoadOutcome outcome) {
        registry.counter(MetricRegistry.name("loads", outcome.name().toLowerCase(java.util.Locale.ROOT)))
                .inc();
    }

    /** Accelerators of a target held loaded models without requests for this long; the time counts for each. */
    public void idleAccelerators(String target, int accelerators, long millis) {
        idleSeconds
                .computeIfAbsent(targets.bound(target), this::registerIdle)
                .add(accelerators * millis / MILLIS_PER_SECOND);
    }

    /** Bytes of control traffic went out. */
    public void controlBytesSent(long bytes) {
        registry.counter("control_bytes.sent").inc(bytes);
    }

    /** Bytes of control traffic came in. */
    public void controlBytesReceived(long bytes) {
        registry.counter("control_bytes.received").inc(bytes);
    }

    /** Returns the count of exceptions that no callback handled. */
    Counter unexpectedExceptions() {
        return registry.counter("unexpected_exceptions");
    }

    private void record(String name, String tenant, String requestClass, long millis) {
        long value = Math.max(0, millis);
        histogram(name, "tenant", tenants.bound(tenant)).update(value);
        histogram(name, "class", classes.bound(requestClass)).update(value);
    }

    private Histogram histogram(String name, String dimension, String value) {
        return registry.histogram(
                MetricRegistry.name(name, dimension, value), () -> new Histogram(new HdrHistogramReservoir()));
    }

    private AtomicLong registerLease(String cell) {
        AtomicLong state = new AtomicLong();
        registry.gauge(MetricRegistry.name("lease_state", cell), () -> (Gauge<Long>) state::get);
        return state;
    }

    private DoubleAdder registerIdle(String target) {
        DoubleAdder seconds = new DoubleAdder();
        registry.gauge(MetricRegistry.name("idle_accelerator_seconds", target), () -> (Gauge<Double>) seconds::sum);
        return seconds;
    }

    private void registerProcess() {
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
