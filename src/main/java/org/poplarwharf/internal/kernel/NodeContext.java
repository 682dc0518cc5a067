package org.poplarwharf.internal.kernel;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * What the kernel hands to each role: settings, threads, clock, plug-ins, metrics, and the services that other roles
 * have offered.
 *
 * <p>The accessors are thread-safe; {@link #offer} and {@link #find} are called from the control thread only.
 */
public interface NodeContext {
    NodeSettings settings();

    /** The one thread of control state. */
    Eventloop control();

    /** The threads that carry callers' traffic. */
    List<Eventloop> traffic();

    MonotonicClock clock();

    PluginRegistry plugins();

    MetricRegistry metrics();

    /** Differs for each start of the node; later starts have higher ones. */
    long incarnation();

    /** Offers a service of one role to the others, under its interface. */
    <T> void offer(Class<T> type, T service);

    /** Returns a service that another role has offered. */
    <T> Optional<T> find(Class<T> type);
}
