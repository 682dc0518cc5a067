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
import org.poplarwharf.internal.load.TradeOff.Point;
import org.poplarwharf.internal.load.TradeOff.Verdict;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.RequestEnded;
import org.poplarwharf.internal.standin.EngineEvent.RequestStarted;
import org.poplarwharf.internal.standin.EngineEvent.State;
import org.poplarwharf.internal.standin.EngineEvent.StateChanged;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.plugins.ArtifactId;

/** The figures by which policies are judged, worked out by hand on small traces. */
class PolicyFiguresTest {
    private static final ArtifactId HALF = ArtifactId.model("half");
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
    void idle_time_is_what_is_loaded_and_unused_times_its_share_of_the_accelerators() {
        List<Journal.Entry<EngineEvent>> journal = List.of(
                entry(0, state(HALF, State.LOADING)),
                entry(1_000, state(HALF, State.LOADED)),
                entry(1_000, state(ADAPTER, State.LOADED)),
                entry(2_000, new RequestStarted("r", ADAPTER, "", 0, 0)),
                entry(5_000, new RequestEnded("r", EngineEvent.End.ANSWERED, 1)),
                entry(6_000, state(ADAPTER, State.UNLOADING)),
                entry(9_000, state(HALF, State.UNLOADING)),
                entry(9_500, state(HALF, State.ABSENT)));
        IdleTime.Figures all = IdleTime.of(CONFIG, Map.of("e", journal), 0, 20_000);
        double model = 2 * 40.0 / 80;
        double adapter = 2 * 8.0 / 80;
        assertThat(all.idleMillis()).isCloseTo(5_000 * model + 2_000 * adapter, within(1e-6));
        assertThat(all.loadedMillis()).isCloseTo(8_000 * model + 5_000 * adapter, within(1e-6));
        assertThat(all.loads()).isEqualTo(1);
        IdleTime.Figures window = IdleTime.of(CONFIG, Map.of("e", journal), 1_500, 2_500);
        assertThat(window.idleMillis()).isCloseTo(500 * model + 500 * adapter, within(1e-6));
        assertThat(window.loads()).isZero();
    }

    private static Arrival arrival(int number, long atMillis, ArtifactId artifact) {
        return new Arrival(number, atMillis, artifact, "c", "t", 60_000, 11, "POST", "", Optional.empty());
    }

    @Test
    void foresight_holds_the_cheapest_gaps_when_the_store_can_not_bridge_all() {
        ForesightBound.Limits limits = new ForesightBound.Limits(0.1, 1, 40.0 * 1024 * 1024 * 1024, 500, 50);
        List<Arrival> trace = List.of(arrival(0, 5_000, HALF), arrival(1, 8_000, HALF), arrival(2, 19_000, HALF));
        ForesightBound two = ForesightBound.of(CONFIG, trace, limits, 10_000);
        assertThat(two.idleMillis()).as("two loads: the gap of 2 s is held").isCloseTo(2_000, within(1e-6));
        ForesightBound three = ForesightBound.of(CONFIG, trace, limits, 20_000);
        assertThat(three.idleMillis()).as("three loads bridge both gaps").isZero();
        assertThat(three.longestWaitMillis()).isZero();
    }

    @Test
    void foresight_waits_when_first_loads_come_faster_than_the_store_starts_them() {
        ForesightBound.Limits limits = new ForesightBound.Limits(0.1, 1, 40.0 * 1024 * 1024 * 1024, 500, 50);
        List<Arrival> trace = List.of(arrival(0, 1_000, ADAPTER));
        ForesightBound bound = ForesightBound.of(CONFIG, trace, limits, 20_000);
        assertThat(bound.coldArtifacts()).isEqualTo(2);
        assertThat(bound.longestWaitMillis())
                .as("the adapter may start after 10 s, takes 0.2 s, and is wanted at 1 s")
                .isCloseTo(9_200, within(1.0));
    }

    private static RequestResult result(int number, boolean answered, boolean cold, long millis) {
        return new RequestResult(
                arrival(number, 0, HALF),
                answered ? 200 : 503,
                answered ? "" : "x",
                "no",
                answered,
                cold,
                millis,
                millis);
    }

    @Test
    void a_refused_request_counts_as_a_cold_start_until_its_deadline() {
        ColdStarts figures = ColdStarts.of(
                List.of(result(0, true, false, 5), result(1, true, true, 900), result(2, false, false, 3)), 10);
        assertThat(figures.p50Millis()).isEqualTo(9_000);
        assertThat(figures.p99Millis()).isEqualTo(600_000);
        assertThat(figures.answeredP99Millis()).isEqualTo(9_000);
        assertThat(figures.refusedBy()).containsExactly(Map.entry("c x", 1));
    }

    private static Point point(String policy, double idleHours, long p99Millis) {
        return new Point(policy, 0, idleHours, new ColdStarts(1, 1, 0, 0, 0, p99Millis, 0, 0, Map.of()), 0, 0);
    }

    @Test
    void a_policy_is_compared_with_the_baseline_at_equal_idle_hours_and_at_equal_tail() {
        TradeOff tradeOff = new TradeOff(List.of(
                point("fixed", 4, 20),
                point("fixed", 3, 90),
                point("fixed", 1, 100),
                point("fixed", 2, 60),
                point("new", 1.5, 40)));
        Verdict verdict = tradeOff.against("fixed").get(0);
        assertThat(verdict.p99Ratio()).hasValue(0.5);
        assertThat(verdict.idleRatio()).hasValue(0.5);
        assertThat(verdict.meetsTail() && verdict.meetsIdle()).isTrue();
        Verdict outside = new TradeOff(List.of(point("fixed", 1, 100), point("fixed", 2, 60), point("new", 0.9, 50)))
                .against("fixed")
                .get(0);
        assertThat(outside.p99Ratio()).isEmpty();
        assertThat(outside.idleRatio()).isEmpty();
    }
}
