package org.poplarwharf.internal.config;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.TestSettings;
import org.poplarwharf.internal.log.TestEventLoop;
import org.poplarwharf.plugins.EventLog;
import org.poplarwharf.plugins.PluginRegistry;

/** A node context with a given event log. Not thread-safe. */
final class FakeContext implements NodeContext, PluginRegistry {
    private final TestEventLoop loop;
    private final EventLog.Factory factory;
    private final long incarnation;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Map<Class<?>, Object> services = new HashMap<>();

    FakeContext(TestEventLoop loop, EventLog log, String nodeId) {
        this.loop = loop;
        this.factory = (reactor, address) -> log;
        this.incarnation = nodeId.hashCode();
    }

    @Override
    public NodeSettings settings() {
        return TestSettings.create(Optional.empty());
    }

    @Override
    public Eventloop controlLoop() {
        return loop.eventloop();
    }

    @Override
    public List<Eventloop> trafficLoops() {
        return List.of();
    }

    @Override
    public MonotonicClock clock() {
        return MonotonicClock.system();
    }

    @Override
    public PluginRegistry plugins() {
        return this;
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

    @Override
    public <T> void register(Class<T> extensionPoint, String name, T implementation) {
        throw new UnsupportedOperationException("the fake registry is read-only");
    }

    @Override
    public <T> Optional<T> find(Class<T> extensionPoint, String name) {
        return extensionPoint == EventLog.Factory.class ? Optional.of(extensionPoint.cast(factory)) : Optional.empty();
    }

    @Override
    public SortedSet<String> names(Class<?> extensionPoint) {
        return new TreeSet<>();
    }
}
