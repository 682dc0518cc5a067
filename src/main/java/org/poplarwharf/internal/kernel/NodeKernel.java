package org.poplarwharf.internal.kernel;

import com.codahale.metrics.MetricRegistry;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.PluginRegistry;

/**
 * The life of a node: makes its threads, starts the roles that plug-ins registered, drains and stops them in reverse.
 *
 * <p>Invariant: the phase only moves forward, and readiness falls before any role drains. Thread-safe; {@link #start},
 * {@link #drain} and {@link #stop} block and must not be called from the node's own threads.
 */
public final class NodeKernel implements NodeLifeCycle {
    /** Time that each role gets to drain even when earlier ones took all of the drain time, so that leases go back. */
    private static final long LEAST_DRAIN_MILLIS = 1_000;

    /** Time that each role gets to stop. */
    private static final long STOP_MILLIS = 2_000;

    private final NodeSettings settings;
    private final PluginRegistry plugins;
    private final NodeLog log;
    private final NodeThreads threads;
    private final KernelContext context;
    private final FreePorts ports = new FreePorts();
    private final List<Role> started = new ArrayList<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Creates a node of all plug-ins on the class path. */
    public NodeKernel(NodeSettings settings) {
        this(settings, ServiceLoaderRegistry.load());
    }

    /** Creates a node of these plug-ins. */
    public NodeKernel(NodeSettings settings, PluginRegistry plugins) {
        this.settings = ports.choose(settings);
        this.plugins = plugins;
        MetricRegistry metrics = new MetricRegistry();
        log = new NodeLog(settings.nodeId(), settings.zone());
        NodeMetrics nodeMetrics = new NodeMetrics(metrics);
        threads = new NodeThreads(settings.trafficThreads(), log, nodeMetrics.unexpectedExceptions());
        context = new KernelContext(this.settings, threads.control(), threads.traffic(), plugins, metrics);
        context.offer(NodeLifeCycle.class, this);
        context.offer(NodeLog.class, log);
        context.offer(NodeMetrics.class, nodeMetrics);
    }

    /** Returns the settings with the ports that were chosen. */
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public Phase phase() {
        return phase.get();
    }

    /** Starts every role; raises the failure of the first that does not start. */
    public void start() {
        threads.start();
        try {
            for (String name : RoleOrder.sort(plugins.names(Role.Factory.class))) {
                startRole(name);
            }
        } catch (PoplarWharfException failure) {
            log.failure(LogEvent.NODE_FAILED, failure.code(), failure.getMessage(), failure);
            stop();
            throw failure;
        } finally {
            ports.close();
        }
        phase.compareAndSet(Phase.STARTING, Phase.RUNNING);
        log.event(LogEvent.NODE_STARTED);
    }

    @Override
    public void requestDrain() {
        new Thread(this::drain, "drain").start();
    }

    /** Takes no new work and waits until the work under way is done or the drain time is over. */
    public void drain() {
        boolean first = phase.compareAndSet(Phase.RUNNING, Phase.DRAINING);
        if (first) {
            drainRoles();
            drained.countDown();
        } else if (phase.get() == Phase.DRAINING) {
            await(drained);
        }
    }

    /** Stops every role and ends the threads. */
    public void stop() {
        if (phase.getAndSet(Phase.STOPPED) == Phase.STOPPED) {
            await(stopped);
            return;
        }
        for (Role role : reversed()) {
            runBounded(role, LogEvent.ROLE_STOP_FAILED, STOP_MILLIS, role::stop);
        }
        log.event(LogEvent.NODE_STOPPED);
        threads.stop();
        drained.countDown();
        stopped.countDown();
    }

    /** Waits until {@link #stop} has ended. */
    public void awaitStop() {
        await(stopped);
    }

    private void startRole(String name) {
        Role.Factory factory = plugins.find(Role.Factory.class, name).orElseThrow();
        try {
            Role role = threads.callControl(name, () -> Promise.of(factory.create(context)));
            started.add(role);
            threads.callControl(name, role::start);
        } catch (PoplarWharfException failure) {
            throw Reporter.roleNotStarted(name, failure);
        }
        log.event(LogEvent.ROLE_STARTED, name);
    }

    private void drainRoles() {
        log.event(LogEvent.NODE_DRAINING);
        long endMillis = context.clock().nowMillis() + settings.drainMillis();
        for (Role role : reversed()) {
            long leftMillis =
                    Math.max(LEAST_DRAIN_MILLIS, endMillis - context.clock().nowMillis());
            runBounded(role, LogEvent.ROLE_DRAIN_FAILED, leftMillis, role::drain);
        }
        log.event(LogEvent.NODE_DRAINED);
    }

    /** Runs a step of a role's life; its failure or lateness is logged, and the next role goes on. */
    private void runBounded(Role role, LogEvent onFailure, long timeoutMillis, Step step) {
        try {
            threads.callControl(role.name(), () -> Deadlines.within(timeoutMillis, role.name(), step::run));
        } catch (PoplarWharfException failure) {
            log.failure(onFailure, failure.code(), role.name(), failure);
        }
    }

    private List<Role> reversed() {
        List<Role> roles = new ArrayList<>(started);
        Collections.reverse(roles);
        return roles;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("the node", e);
        }
    }

    /** A step of a role's life. */
    private interface Step {
        Promise<Void> run();
    }
}
