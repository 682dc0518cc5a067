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
 * Runs a node: creates its threads, starts the roles of all plug-ins, and drains and stops them in reverse order.
 *
 * <p>Invariant: the phase only moves forward, and the node stops being ready before any role drains. Thread-safe.
 * {@link #start}, {@link #drain} and {@link #stop} block and must not be called from the threads of the node.
 */
public final class NodeKernel implements NodeLifeCycle {
    /** Minimum drain time per role, even if earlier roles used up the drain timeout, so that leases are released. */
    private static final long MIN_ROLE_DRAIN_MILLIS = 1_000;

    /** Timeout for each role to stop. */
    private static final long ROLE_STOP_TIMEOUT_MILLIS = 2_000;

    private final NodeSettings settings;
    private final PluginRegistry plugins;
    private final NodeLog log;
    private final NodeThreads threads;
    private final KernelContext context;
    private final PortReservations portReservations = new PortReservations();
    private final List<Role> startedRoles = new ArrayList<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
    private final CountDownLatch drainFinished = new CountDownLatch(1);
    private final CountDownLatch stopFinished = new CountDownLatch(1);

    /** Creates a node with all plug-ins on the class path. */
    public NodeKernel(NodeSettings settings) {
        this(settings, ServiceLoaderRegistry.load());
    }

    /** Creates a node with the given plug-ins. */
    public NodeKernel(NodeSettings settings, PluginRegistry plugins) {
        this.settings = portReservations.assignPorts(settings);
        this.plugins = plugins;
        MetricRegistry metrics = new MetricRegistry();
        log = new NodeLog(settings.nodeId(), settings.zone());
        NodeMetrics nodeMetrics = new NodeMetrics(metrics);
        threads = new NodeThreads(settings.trafficThreads(), log, nodeMetrics.unexpectedExceptions());
        context = new KernelContext(this.settings, threads.controlLoop(), threads.trafficLoops(), plugins, metrics);
        context.registerService(NodeLifeCycle.class, this);
        context.registerService(NodeLog.class, log);
        context.registerService(NodeMetrics.class, nodeMetrics);
    }

    /** Returns the settings with the actual ports of the node. */
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public Phase phase() {
        return phase.get();
    }

    /** Starts all roles. If one fails to start, stops the node and throws that failure. */
    public void start() {
        threads.start();
        try {
            for (String name : RoleOrder.sort(plugins.names(Role.Factory.class))) {
                startRole(name);
            }
        } catch (PoplarWharfException failure) {
            log.logFailure(NodeLogEvent.NODE_FAILED, failure.code(), failure.getMessage(), failure);
            stop();
            throw failure;
        } finally {
            portReservations.close();
        }
        phase.compareAndSet(Phase.STARTING, Phase.RUNNING);
        log.logEvent(NodeLogEvent.NODE_STARTED);
    }

    @Override
    public void requestDrain() {
        new Thread(this::drain, "drain").start();
    }

    /** Stops accepting new work and waits until the work in flight is done or the drain timeout expires. */
    public void drain() {
        boolean startsDrain = phase.compareAndSet(Phase.RUNNING, Phase.DRAINING);
        if (startsDrain) {
            drainRoles();
            drainFinished.countDown();
        } else if (phase.get() == Phase.DRAINING) {
            await(drainFinished);
        }
    }

    /** Stops all roles and then the threads. */
    public void stop() {
        if (phase.getAndSet(Phase.STOPPED) == Phase.STOPPED) {
            await(stopFinished);
            return;
        }
        for (Role role : rolesInReverse()) {
            runWithTimeout(role, NodeLogEvent.ROLE_STOP_FAILED, ROLE_STOP_TIMEOUT_MILLIS, role::stop);
        }
        log.logEvent(NodeLogEvent.NODE_STOPPED);
        threads.stop();
        drainFinished.countDown();
        stopFinished.countDown();
    }

    /** Waits until {@link #stop} has finished. */
    public void awaitStop() {
        await(stopFinished);
    }

    private void startRole(String name) {
        Role.Factory factory = plugins.find(Role.Factory.class, name).orElseThrow();
        try {
            Role role = threads.callOnControlThread(name, () -> Promise.of(factory.create(context)));
            startedRoles.add(role);
            threads.callOnControlThread(name, role::start);
        } catch (PoplarWharfException failure) {
            throw Reporter.roleNotStarted(name, failure);
        }
        log.logEvent(NodeLogEvent.ROLE_STARTED, name);
    }

    private void drainRoles() {
        log.logEvent(NodeLogEvent.NODE_DRAINING);
        long deadlineMillis = context.clock().nowMillis() + settings.drainMillis();
        for (Role role : rolesInReverse()) {
            long remainingMillis = Math.max(
                    MIN_ROLE_DRAIN_MILLIS, deadlineMillis - context.clock().nowMillis());
            runWithTimeout(role, NodeLogEvent.ROLE_DRAIN_FAILED, remainingMillis, role::drain);
        }
        log.logEvent(NodeLogEvent.NODE_DRAINED);
    }

    /** Runs a drain or stop step with a timeout. A failure is logged, not thrown, so that the next role still runs. */
    private void runWithTimeout(Role role, NodeLogEvent failureEvent, long timeoutMillis, LifecycleStep step) {
        try {
            threads.callOnControlThread(role.name(), () -> Timeouts.withTimeout(timeoutMillis, role.name(), step::run));
        } catch (PoplarWharfException failure) {
            log.logFailure(failureEvent, failure.code(), role.name(), failure);
        }
    }

    private List<Role> rolesInReverse() {
        List<Role> roles = new ArrayList<>(startedRoles);
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

    /** A drain or stop step of a role. */
    private interface LifecycleStep {
        Promise<Void> run();
    }
}
