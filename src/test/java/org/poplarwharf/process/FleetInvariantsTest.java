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
        invariants.configured(MODEL, 1, 0);
    }

    private void journal(String engine, long atMillis, EngineEvent event) {
        journals.computeIfAbsent(engine, key -> new ArrayList<>()).add(new Entry<>(atMillis, event));
    }

    private void change(String engine, long atMillis, State state) {
        journal(engine, atMillis, new EngineEvent.StateChanged(MODEL, "v1", state, 1, 1));
    }

    private void request(String engine, long atMillis) {
        journal(engine, atMillis, new EngineEvent.RequestStarted("r", MODEL, "", 0, 0));
    }

    private List<String> violations() {
        return invariants.violations(journals);
    }

    @Test
    void a_replica_that_moves_is_no_violation() {
        change("e1", 10, State.LOADING);
        change("e1", 20, State.LOADED);
        change("e1", 30, State.UNLOADING);
        change("e1", 40, State.ABSENT);
        change("e2", 41, State.LOADING);
        change("e2", 50, State.LOAD_FAILED);
        change("e1", 51, State.LOADING);
        journal("e1", 60, new EngineEvent.Crashed(""));
        change("e2", 61, State.LOADING);
        invariants.died("e2", 70);
        change("e1", 71, State.LOADING);

        assertThat(violations()).isEmpty();
    }

    @Test
    void a_second_replica_is_found_while_the_first_is_loading_or_unloading() {
        change("e1", 10, State.LOADING);
        change("e2", 20, State.LOADING);
        change("e2", 30, State.ABSENT);
        change("e1", 40, State.UNLOADING);
        change("e2", 50, State.LOADING);

        assertThat(violations())
                .containsExactly("20: m is held by [e1, e2], allowed 1", "50: m is held by [e1, e2], allowed 1");
    }

    @Test
    void an_artifact_that_was_never_configured_is_found() {
        journal("e1", 10, new EngineEvent.StateChanged(ArtifactId.model("x"), "v1", State.LOADING, 1, 1));

        assertThat(violations()).singleElement().asString().contains("allowed 0");
    }

    @Test
    void a_shrinking_configuration_has_four_seconds_and_a_growing_one_none_to_wait() {
        invariants.configured(MODEL, 2, 100);
        change("e1", 101, State.LOADED);
        change("e2", 102, State.LOADED);
        invariants.configured(MODEL, 1, 200);
        assertThat(violations()).containsExactly("4201: m is held by [e1, e2], allowed 1");

        change("e1", 4_200, State.ABSENT);
        assertThat(violations()).isEmpty();

        change("e1", 4_300, State.LOADING);
        assertThat(violations()).containsExactly("4300: m is held by [e1, e2], allowed 1");
    }

    @Test
    void memory_over_the_limit_and_a_recorded_breach_are_found() {
        journal("e1", 10, new EngineEvent.StateChanged(MODEL, "v1", State.LOADING, MEMORY_BYTES + 1, 1));
        journal("e1", 10, new EngineEvent.MemoryExceeded(MODEL, MEMORY_BYTES + 1, MEMORY_BYTES));

        assertThat(violations()).hasSize(2);
    }

    @Test
    void a_request_on_a_leaving_target_is_found_after_five_seconds() {
        change("e1", 5, State.LOADED);
        invariants.leaving("e1", true, 10);
        request("e1", 5_010);
        assertThat(violations()).isEmpty();

        request("e1", 5_011);
        assertThat(violations()).containsExactly("5011: e1 a leaving target began r");

        journals.clear();
        invariants.leaving("e1", false, 6_000);
        request("e1", 6_001);
        assertThat(violations()).isEmpty();
    }
}
