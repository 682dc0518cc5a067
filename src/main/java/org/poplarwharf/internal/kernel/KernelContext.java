package org.poplarwharf.internal.kernel;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * The {@link NodeContext} that the kernel passes to roles.
 *
 * <p>The services are confined to the control thread; all other state is immutable or thread-safe.
 */
final class KernelContext implements NodeContext {
    private final NodeSettings settings;
    private final Eventloop controlLoop;
    private final List<Eventloop> trafficLoops;
    private final PluginRegistry plugins;
    private final MetricRegistry metrics;
    private final MonotonicClock clock = MonotonicClock.system();
    private final long incarnation = System.currentTimeMillis();
    private final Map<Class<?>, Object> services = new HashMap<>();

    KernelContext(
            NodeSettings settings,
            Eventloop controlLoop,
            List<Eventloop> trafficLoops,
            PluginRegistry plugins,
            MetricRegistry metrics) {
        this.settings = settings;
        this.controlLoop = controlLoop;
        this.trafficLoops = List.copyOf(trafficLoops);
        this.plugins = plugins;
        this.metrics = metrics;
    }

    @Override
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public Eventloop controlLoop() {
        return controlLoop;
    }

    @Override
    public List<Eventloop> trafficLoops() {
        return trafficLoops;
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
    public <T> void registerService(Class<T> type, T service) {
        services.put(type, service);
    }

    @Override
    public <T> Optional<T> findService(Class<T> type) {
        return Optional.ofNullable(services.get(type)).map(type::cast);
    }
}
