package org.poplarwharf.internal.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.config.ConfigMerger;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.load.PolicyComparison.BaselineComparison;
import org.poplarwharf.internal.load.PolicyComparison.OperatingPoint;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.RequestEnded;
import org.poplarwharf.internal.standin.EngineEvent.RequestStarted;
import org.poplarwharf.internal.standin.EngineEvent.State;
import org.poplarwharf.internal.standin.EngineEvent.StateChanged;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.plugins.ArtifactId;

/** Checks the metrics for comparing policies against values computed by hand on small traces. */
class PolicyMetricsTest {
    private static final ArtifactId MODEL = ArtifactId.model("half");
    private static final ArtifactId ADAPTER = ArtifactId.adapter("half", "a");
    private static final FleetConfig CONFIG = config();

    private static FleetConfig config() {
        TreeMap<String, String> files = new TreeMap<>(Map.of("a.yaml", """
                cells:
                  - {name: c, zones: [z]}
                targets:
                  - {name: e, kind: engine, address: "127.0.0.1:1", zone: z, memory: 80GiB, accelerators: 2}
                models:
                  - {name: half, version: v1, size: 40GiB, replicas: 1}
                adapters:
                  - {model: half, name: a, version: v1, size: 8GiB, replicas: 1}
                """));
        return ConfigMerger.merge(0, files).config();
    }

    private static Journal.Entry<EngineEvent> entry(long atMillis, EngineEvent event) {
        return new Journal.Entry<>(atMillis, event);
    }

    private static EngineEvent state(ArtifactId artifact, State state) {
        return new StateChanged(artifact, "v1", state, 0, 0);
    }

    @Test
    void idle_time_is_unused_loaded_time_multiplied_by_occupied_accelerators() {
        List<Journal.Entry<EngineEvent>> journal = List.of(
                entry(0, state(MODEL, State.LOADING)),
                entry(1_000, state(MODEL, State.LOADED)),
                entry(1_000, state(ADAPTER, State.LOADED)),
                entry(2_000, new RequestStarted("r", ADAPTER, "", 0, 0)),
                entry(5_000, new RequestEnded("r", EngineEvent.End.ANSWERED, 1)),
                entry(6_000, state(ADAPTER, State.UNLOADING)),
                entry(9_000, state(MODEL, State.UNLOADING)),
                entry(9_500, state(MODEL, State.ABSENT)));
        AcceleratorUsage.Totals wholeRun = AcceleratorUsage.of(CONFIG, Map.of("e", journal), 0, 20_000);
        double modelAccelerators = 2 * 40.0 / 80;
        double adapterAccelerators = 2 * 8.0 / 80;
        assertThat(wholeRun.idleMillis())
                .isCloseTo(5_000 * modelAccelerators + 2_000 * adapterAccelerators, within(1e-6));
        assertThat(wholeRun.loadedMillis())
                .isCloseTo(8_000 * modelAccelerators + 5_000 * adapterAccelerators, within(1e-6));
        assertThat(wholeRun.loads()).isEqualTo(1);
        AcceleratorUsage.Totals window = AcceleratorUsage.of(CONFIG, Map.of("e", journal), 1_500, 2_500);
        assertThat(window.idleMillis()).isCloseTo(500 * modelAccelerators + 500 * adapterAccelerators, within(1e-6));
        assertThat(window.loads()).isZero();
    }

    private static Arrival arrival(int number, long atMillis, ArtifactId artifact) {
        return new Arrival(number, atMillis, artifact, "c", "t", 60_000, 11, "POST", "", Optional.empty());
    }

    @Test
    void lower_bound_keeps_artifacts_loaded_over_the_cheapest_gaps_when_the_store_cannot_reload_for_all() {
        OfflineLowerBound.PlatformLimits limits =
                new OfflineLowerBound.PlatformLimits(0.1, 1, 40.0 * 1024 * 1024 * 1024, 500, 50);
        List<Arrival> trace = List.of(arrival(0, 5_000, MODEL), arrival(1, 8_000, MODEL), arrival(2, 19_000, MODEL));
        OfflineLowerBound boundWithTwoLoads = OfflineLowerBound.of(CONFIG, trace, limits, 10_000);
        assertThat(boundWithTwoLoads.idleMillis())
                .as("two loads: the artifact stays loaded over the gap of 2 s")
                .isCloseTo(2_000, within(1e-6));
        OfflineLowerBound boundWithThreeLoads = OfflineLowerBound.of(CONFIG, trace, limits, 20_000);
        assertThat(boundWithThreeLoads.idleMillis())
                .as("three loads: the artifact is reloaded after both gaps")
                .isZero();
        assertThat(boundWithThreeLoads.longestWaitMillis()).isZero();
    }

    @Test
    void lower_bound_includes_waiting_when_first_loads_exceed_the_start_rate_of_the_store() {
        OfflineLowerBound.PlatformLimits limits =
                new OfflineLowerBound.PlatformLimits(0.1, 1, 40.0 * 1024 * 1024 * 1024, 500, 50);
        List<Arrival> trace = List.of(arrival(0, 1_000, ADAPTER));
        OfflineLowerBound bound = OfflineLowerBound.of(CONFIG, trace, limits, 20_000);
        assertThat(bound.coldArtifacts()).isEqualTo(2);
        assertThat(bound.longestWaitMillis())
                .as("the adapter's load starts after 10 s, takes 0.2 s, and is needed at 1 s")
                .isCloseTo(9_200, within(1.0));
    }

    private static RequestResult result(int number, boolean isAnswered, boolean isColdStart, long millis) {
        return new RequestResult(
                arrival(number, 0, MODEL),
                isAnswered ? 200 : 503,
                isAnswered ? "" : "x",
                "no",
                isAnswered,
                isColdStart,
                millis,
                millis);
    }

    @Test
    void refused_request_counts_as_cold_start_until_its_deadline() {
        ColdStartStats stats = ColdStartStats.of(
                List.of(result(0, true, false, 5), result(1, true, true, 900), result(2, false, false, 3)), 10);
        assertThat(stats.p50Millis()).isEqualTo(9_000);
        assertThat(stats.p99Millis()).isEqualTo(600_000);
        assertThat(stats.answeredP99Millis()).isEqualTo(9_000);
        assertThat(stats.refusedBy()).containsExactly(Map.entry("c x", 1));
    }

    private static OperatingPoint point(String policy, double idleHours, long p99Millis) {
        return new OperatingPoint(
                policy, 0, idleHours, new ColdStartStats(1, 1, 0, 0, 0, p99Millis, 0, 0, Map.of()), 0, 0);
    }

    @Test
    void policy_is_compared_with_the_baseline_at_equal_idle_hours_and_at_equal_p99() {
        PolicyComparison policyComparison = new PolicyComparison(List.of(
                point("fixed", 4, 20),
                point("fixed", 3, 90),
                point("fixed", 1, 100),
                point("fixed", 2, 60),
                point("new", 1.5, 40)));
        BaselineComparison comparison = policyComparison.compareWith("fixed").get(0);
        assertThat(comparison.p99Ratio()).hasValue(0.5);
        assertThat(comparison.idleRatio()).hasValue(0.5);
        assertThat(comparison.meetsLatencyGoal() && comparison.meetsIdleTimeGoal())
                .isTrue();
        BaselineComparison outOfRange = new PolicyComparison(
                        List.of(point("fixed", 1, 100), point("fixed", 2, 60), point("new", 0.9, 50)))
                .compareWith("fixed")
                .get(0);
        assertThat(outOfRange.p99Ratio()).isEmpty();
        assertThat(outOfRange.idleRatio()).isEmpty();
    }
}
