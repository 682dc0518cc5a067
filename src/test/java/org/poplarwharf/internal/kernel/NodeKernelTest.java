package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeLifeCycle.Phase;

class NodeKernelTest {
    private final ServiceLoaderRegistry plugins = new ServiceLoaderRegistry();
    private final List<String> steps = new CopyOnWriteArrayList<>();
    private final AtomicReference<NodeContext> context = new AtomicReference<>();
    private NodeKernel kernel;

    @AfterEach
    void stop() {
        kernel.stop();
    }

    @Test
    void roles_start_in_order_and_drain_and_stop_in_reverse() {
        start("entry", "peers", "extra", "cells");
        kernel.drain();
        kernel.stop();
        assertThat(steps)
                .containsExactly(
                        "start peers",
                        "start cells",
                        "start extra",
                        "start entry",
                        "drain entry in DRAINING",
                        "drain extra in DRAINING",
                        "drain cells in DRAINING",
                        "drain peers in DRAINING",
                        "stop entry",
                        "stop extra",
                        "stop cells",
                        "stop peers");
    }

    @Test
    void role_that_fails_to_start_fails_the_node_and_stops_the_started_roles() {
        register("peers", Promise.complete());
        plugins.register(Role.Factory.class, "entry", node -> {
            throw Reporter.addressUnusable("here", null);
        });
        kernel = new NodeKernel(TestSettings.create(Optional.empty()), plugins);
        assertThatThrownBy(kernel::start)
                .isInstanceOf(PoplarWharfException.class)
                .hasMessageContaining("Role 'entry' did not start")
                .hasMessageContaining("Address here");
        assertThat(steps).containsExactly("start peers", "stop peers");
    }

    @Test
    void drain_that_never_completes_times_out_and_the_next_role_drains() {
        register("cells", Promise.complete());
        register("entry", new SettablePromise<>());
        kernel = new NodeKernel(TestSettings.create(Optional.empty()), plugins);
        kernel.start();
        kernel.drain();
        assertThat(steps).endsWith("drain entry in DRAINING", "drain cells in DRAINING");
    }

    @Test
    void unexpected_exception_in_a_callback_is_counted_and_the_event_loop_keeps_running() throws InterruptedException {
        start("peers");
        CountDownLatch laterTaskRan = new CountDownLatch(1);
        context.get().controlLoop().execute(() -> {
            throw new IllegalStateException("a defect");
        });
        context.get().controlLoop().execute(laterTaskRan::countDown);
        assertThat(laterTaskRan.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(context.get().metrics().counter("unexpected_exceptions").getCount())
                .isEqualTo(1);
    }

    @Test
    void typed_failure_in_a_promise_callback_fails_the_promise_but_one_in_a_task_is_counted_as_unexpected()
            throws InterruptedException {
        start("peers");
        CountDownLatch failed = new CountDownLatch(1);
        Eventloop control = context.get().controlLoop();
        control.execute(() -> Promise.of(1)
                .then(value -> {
                    throw CallerReporter.notReady();
                })
                .whenException(PoplarWharfException.class, e -> failed.countDown()));
        assertThat(failed.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(context.get().metrics().counter("unexpected_exceptions").getCount())
                .isZero();
        CountDownLatch laterTaskRan = new CountDownLatch(1);
        control.execute(() -> {
            throw CallerReporter.notReady();
        });
        control.execute(laterTaskRan::countDown);
        assertThat(laterTaskRan.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(context.get().metrics().counter("unexpected_exceptions").getCount())
                .isEqualTo(1);
    }

    @Test
    void unassigned_ports_are_replaced_by_distinct_free_ports() {
        start();
        NodeSettings settings = kernel.settings();
        assertThat(List.of(settings.listenAddress(), settings.peerAddress(), settings.adminAddress()))
                .doesNotHaveDuplicates()
                .noneMatch(address -> address.endsWith(":0"));
        assertThat(kernel.phase()).isEqualTo(Phase.RUNNING);
    }

    @Test
    void second_implementation_with_the_same_name_is_rejected() {
        start("peers");
        assertThatThrownBy(() -> register("peers", Promise.complete())).hasMessageContaining("peers");
    }

    private void start(String... roles) {
        for (String role : roles) {
            register(role, Promise.complete());
        }
        kernel = new NodeKernel(TestSettings.create(Optional.empty()), plugins);
        kernel.start();
    }

    private void register(String name, Promise<Void> drainResult) {
        plugins.register(Role.Factory.class, name, node -> {
            context.set(node);
            return new RecordingRole(name, drainResult);
        });
    }

    /** Records each life cycle step. */
    private final class RecordingRole implements Role {
        private final String name;
        private final Promise<Void> drainResult;

        private RecordingRole(String name, Promise<Void> drainResult) {
            this.name = name;
            this.drainResult = drainResult;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public Promise<Void> start() {
            steps.add("start " + name);
            return Promise.complete();
        }

        @Override
        public Promise<Void> drain() {
            steps.add("drain " + name + " in " + kernel.phase());
            return drainResult;
        }

        @Override
        public Promise<Void> stop() {
            steps.add("stop " + name);
            return Promise.complete();
        }
    }
}
