package org.poplarwharf.internal.kernel;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * Provides roles with the node's settings, event loops, clock, plug-ins and metrics, and with the services that other
 * roles have registered.
 *
 * <p>The accessors are thread-safe. {@link #registerService} and {@link #findService} are called on the control thread
 * only.
 */
public interface NodeContext {
    NodeSettings settings();

    /** Returns the event loop that owns all control state. */
    Eventloop controlLoop();

    /** Returns the event loops that handle the traffic of callers. */
    List<Eventloop> trafficLoops();

    MonotonicClock clock();

    PluginRegistry plugins();

    MetricRegistry metrics();

    /** Returns the number of this run of the node. Each restart has a higher number. */
    long incarnation();

    /** Registers a service under its interface, for use by other roles. */
    <T> void registerService(Class<T> type, T service);

    /** Returns the service registered under an interface, if any. */
    <T> Optional<T> findService(Class<T> type);
}
