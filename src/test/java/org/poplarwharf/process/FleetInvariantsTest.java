package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.State;
import org.poplarwharf.internal.standin.Journal.Entry;
import org.poplarwharf.plugins.ArtifactId;

class FleetInvariantsTest {
    private static final ArtifactId MODEL = ArtifactId.model("m");
    private static final long MEMORY_BYTES = 100;

    private final FleetInvariants invariants = new FleetInvariants(MEMORY_BYTES);
    private final Map<String, List<Entry<EngineEvent>>> journals = new TreeMap<>();

    FleetInvariantsTest() {
        invariants.recordReplicaLimit(MODEL, 1, 0);
    }

    private void journal(String engine, long atMillis, EngineEvent event) {
        journals.computeIfAbsent(engine, key -> new ArrayList<>()).add(new Entry<>(atMillis, event));
    }

    private void journalStateChange(String engine, long atMillis, State state) {
        journal(engine, atMillis, new EngineEvent.StateChanged(MODEL, "v1", state, 1, 1));
    }

    private void journalRequestStart(String engine, long atMillis) {
        journal(engine, atMillis, new EngineEvent.RequestStarted("r", MODEL, "", 0, 0));
    }

    private List<String> violations() {
        return invariants.findViolations(journals);
    }

    @Test
    void accepts_a_replica_that_moves_between_engines() {
        journalStateChange("e1", 10, State.LOADING);
        journalStateChange("e1", 20, State.LOADED);
        journalStateChange("e1", 30, State.UNLOADING);
        journalStateChange("e1", 40, State.ABSENT);
        journalStateChange("e2", 41, State.LOADING);
        journalStateChange("e2", 50, State.LOAD_FAILED);
        journalStateChange("e1", 51, State.LOADING);
        journal("e1", 60, new EngineEvent.Crashed(""));
        journalStateChange("e2", 61, State.LOADING);
        invariants.recordEngineDeath("e2", 70);
        journalStateChange("e1", 71, State.LOADING);

        assertThat(violations()).isEmpty();
    }

    @Test
    void reports_a_second_replica_while_the_first_is_loading_or_unloading() {
        journalStateChange("e1", 10, State.LOADING);
        journalStateChange("e2", 20, State.LOADING);
        journalStateChange("e2", 30, State.ABSENT);
        journalStateChange("e1", 40, State.UNLOADING);
        journalStateChange("e2", 50, State.LOADING);

        assertThat(violations())
                .containsExactly("20: m is held by [e1, e2], allowed 1", "50: m is held by [e1, e2], allowed 1");
    }

    @Test
    void reports_an_artifact_that_was_never_configured() {
        journal("e1", 10, new EngineEvent.StateChanged(ArtifactId.model("x"), "v1", State.LOADING, 1, 1));

        assertThat(violations()).singleElement().asString().contains("allowed 0");
    }

    @Test
    void lower_replica_limits_apply_after_four_seconds_and_higher_ones_at_once() {
        invariants.recordReplicaLimit(MODEL, 2, 100);
        journalStateChange("e1", 101, State.LOADED);
        journalStateChange("e2", 102, State.LOADED);
        invariants.recordReplicaLimit(MODEL, 1, 200);
        assertThat(violations()).containsExactly("4201: m is held by [e1, e2], allowed 1");

        journalStateChange("e1", 4_200, State.ABSENT);
        assertThat(violations()).isEmpty();

        journalStateChange("e1", 4_300, State.LOADING);
        assertThat(violations()).containsExactly("4300: m is held by [e1, e2], allowed 1");
    }

    @Test
    void reports_memory_over_the_limit_and_a_recorded_breach() {
        journal("e1", 10, new EngineEvent.StateChanged(MODEL, "v1", State.LOADING, MEMORY_BYTES + 1, 1));
        journal("e1", 10, new EngineEvent.MemoryExceeded(MODEL, MEMORY_BYTES + 1, MEMORY_BYTES));

        assertThat(violations()).hasSize(2);
    }

    @Test
    void reports_a_request_started_on_a_leaving_target_after_five_seconds() {
        journalStateChange("e1", 5, State.LOADED);
        invariants.recordLeaving("e1", true, 10);
        journalRequestStart("e1", 5_010);
        assertThat(violations()).isEmpty();

        journalRequestStart("e1", 5_011);
        assertThat(violations()).containsExactly("5011: e1 a leaving target started request r");

        journals.clear();
        invariants.recordLeaving("e1", false, 6_000);
        journalRequestStart("e1", 6_001);
        assertThat(violations()).isEmpty();
    }
}
