package org.poplarwharf.internal.kernel;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * The kernel's {@link NodeContext}.
 *
 * <p>The services belong to the control thread; all else is immutable.
 */
final class KernelContext implements NodeContext {
    private final NodeSettings settings;
    private final Eventloop control;
    private final List<Eventloop> traffic;
    private final PluginRegistry plugins;
    private final MetricRegistry metrics;
    private final MonotonicClock clock = MonotonicClock.system();
    private final long incarnation = System.currentTimeMillis();
    private final Map<Class<?>, Object> services = new HashMap<>();

    KernelContext(
            NodeSettings settings,
            Eventloop control,
            List<Eventloop> traffic,
            PluginRegistry plugins,
            MetricRegistry metrics) {
        this.settings = settings;
        this.control = control;
        this.traffic = List.copyOf(traffic);
        this.plugins = plugins;
        this.metrics = metrics;
    }

    @Override
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public Eventloop control() {
        return control;
    }

    @Override
    public List<Eventloop> traffic() {
        return traffic;
    }

    @Override
    public MonotonicClock clock() {
        return clock;
    }

    @Override
    public PluginRegistry plugins() {
        return plugins;
    }

    @Override
    public MetricRegistry metrics() {
        return metrics;
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public <T> void offer(Class<T> type, T service) {
        services.put(type, service);
    }

    @Override
    public <T> Optional<T> find(Class<T> type) {
        return Optional.ofNullable(services.get(type)).map(type::cast);
    }
}
