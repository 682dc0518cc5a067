package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.idle.IdlePlugin;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.protocol.ProtocolPlugin;
import org.poplarwharf.internal.standin.EngineSettings;
import org.poplarwharf.internal.standin.EngineStandin;
import org.poplarwharf.internal.standin.LogSettings;
import org.poplarwharf.internal.standin.LogStandin;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.internal.standin.VmListStandin;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.PluginRegistry;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/** Runs two roles on the real stream and the HTTP adapters against stand-ins of the platform, in one event loop. */
class CellRoleTest {
    private static final long TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(20);
    private static final long POLL_MILLIS = 20;
    private static final ArtifactId LLAMA = ArtifactId.model("llama");

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final LogStandin log = LogStandin.start(loop, StandinAddresses.loopback(), LogSettings.defaults());
    private final VmListStandin vms = VmListStandin.start(loop, StandinAddresses.loopback(), 0);
    private final EngineStandin engine =
            EngineStandin.start(loop, StandinAddresses.loopback(), EngineSettings.defaults(Optional.empty()));

    @Test
    void minimum_replica_is_loaded_and_kept_by_the_next_holder_after_a_release() {
        vms.setVms(List.of(new Vm("vm-t0", "t0", engine.address(), "z", VmState.LIVE)));
        CellRole first = role("a");
        runUntil(() ->
                first.holder("c").isPresent() && !first.lastKnownReplicas(LLAMA).isEmpty());
        CellRole second = role("b");
        runUntil(() -> !second.lastKnownReplicas(LLAMA).isEmpty());
        first.drain();
        runUntil(() -> second.holder("c").filter(CellView.Holder::local).isPresent());
        first.stop();
        second.stop();
        List.of(log, vms, engine).forEach(standin -> standin.stop());
        assertThat(second.lastKnownReplicas(LLAMA)).hasSize(1);
    }

    @Test
    void lease_of_a_stopped_role_is_taken_over_once_it_has_expired() {
        vms.setVms(List.of(new Vm("vm-t0", "t0", engine.address(), "z", VmState.LIVE)));
        CellRole first = role("a");
        runUntil(() -> !first.lastKnownReplicas(LLAMA).isEmpty());
        CellRole second = role("b");
        runUntil(() -> second.holder("c").isPresent());
        first.stop();
        long stoppedNanos = System.nanoTime();
        runUntil(() -> second.holder("c").filter(CellView.Holder::local).isPresent());
        assertThat(System.nanoTime() - stoppedNanos).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(1_000));
        assertThat(second.lastKnownReplicas(LLAMA)).hasSize(1);
        second.stop();
        List.of(log, vms, engine).forEach(standin -> standin.stop());
    }

    private CellRole role(String nodeId) {
        CellRole role = new CellRole(new TestContext(settings(nodeId)));
        role.start();
        return role;
    }

    /** Runs the event loop until the condition holds or the time limit is reached. */
    private void runUntil(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        boolean[] met = new boolean[1];
        Runnable[] check = new Runnable[1];
        check[0] = () -> {
            met[0] = condition.getAsBoolean();
            if (met[0] || System.nanoTime() > deadlineNanos) {
                loop.breakEventloop();
                return;
            }
            loop.delay(POLL_MILLIS, check[0]);
        };
        loop.post(check[0]);
        loop.run();
        assertThat(met[0]).isTrue();
    }

    private NodeSettings settings(String nodeId) {
        return new NodeSettings(
                nodeId,
                "vm-" + nodeId,
                "z",
                "",
                nodeId,
                "",
                Optional.empty(),
                List.of(),
                log.address(),
                vms.address(),
                "http",
                "http",
                "openai",
                "",
                "fixed",
                1,
                1_500,
                100,
                400,
                100,
                60_000,
                1_000,
                1_000,
                100,
                4,
                1_000,
                3_600_000,
                Optional.empty(),
                0,
                1_800_000);
    }

    private FleetConfig config() {
        TargetSpec target = new TargetSpec("t0", TargetKind.ENGINE, engine.address(), "z", 100, 4, true, 1);
        ModelSpec model =
                new ModelSpec("llama", "1", 60, 1, 1, 1, List.of(), List.of(), List.of(), OptionalLong.empty());
        CellSpec cell = new CellSpec("c", List.of("z"));
        return new FleetConfig(1, List.of(cell), List.of(target), List.of(model), List.of(), List.of(), List.of());
    }

    private final class TestContext implements NodeContext {
        private final NodeSettings settings;
        private final MapPluginRegistry plugins = new MapPluginRegistry();
        private final Map<Class<?>, Object> services = new HashMap<>();
        private final MetricRegistry metrics = new MetricRegistry();

        TestContext(NodeSettings settings) {
            this.settings = settings;
            new ProtocolPlugin().registerWith(plugins);
            new IdlePlugin().registerWith(plugins);
            registerService(ConfigView.class, new FixedConfig());
        }

        @Override
        public NodeSettings settings() {
            return settings;
        }

        @Override
        public Eventloop controlLoop() {
            return loop;
        }

        @Override
        public List<Eventloop> trafficLoops() {
            return List.of(loop);
        }

        @Override
        public MonotonicClock clock() {
            return MonotonicClock.system();
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
            return 1;
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

    private final class FixedConfig implements ConfigView {
        @Override
        public FleetConfig current() {
            return config();
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public void onChange(Consumer<FleetConfig> listener) {
            listener.accept(config());
        }
    }

    private static final class MapPluginRegistry implements PluginRegistry {
        private final Map<String, Object> found = new TreeMap<>();

        @Override
        public <T> void register(Class<T> extensionPoint, String name, T implementation) {
            found.put(extensionPoint.getName() + " " + name, implementation);
        }

        @Override
        public <T> Optional<T> find(Class<T> extensionPoint, String name) {
            return Optional.ofNullable(found.get(extensionPoint.getName() + " " + name))
                    .map(extensionPoint::cast);
        }

        @Override
        public SortedSet<String> names(Class<?> extensionPoint) {
            return new TreeSet<>(found.keySet());
        }
    }
}
