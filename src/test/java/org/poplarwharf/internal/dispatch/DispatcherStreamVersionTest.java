package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.stream.StreamContinuation;

/** Dispatches requests that continue a stream to targets of several software versions. */
class DispatcherStreamVersionTest {
    private static final long DEADLINE_MILLIS = 5_000;

    private final FakeFleet fleet = new FakeFleet("m1");

    @BeforeEach
    void addTargets() {
        fleet.softwareVersions.put("t2", "v2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
    }

    @Test
    void stream_continues_only_at_the_version_that_began_it() {
        fleet.continuation = Optional.of(new StreamContinuation("s", Optional.of("v2")));
        for (int i = 0; i < FakeFleet.SLOT_COUNT; i++) {
            fleet.submit("m1", DEADLINE_MILLIS);
        }

        assertThat(fleet.granted).hasSize(FakeFleet.SLOT_COUNT);
        assertThat(fleet.granted.values()).containsOnly("t2");
    }

    @Test
    void stream_whose_version_no_target_has_is_refused_at_once() {
        fleet.continuation = Optional.of(new StreamContinuation("s", Optional.of("v3")));
        String key = fleet.submit("m1", DEADLINE_MILLIS);

        assertThat(fleet.refused).containsEntry(key, "no-target-of-version");
    }

    @Test
    void new_streams_use_targets_of_both_versions() {
        for (int i = 0; i < FakeFleet.SLOT_COUNT; i++) {
            fleet.submit("m1", DEADLINE_MILLIS);
        }

        assertThat(fleet.granted.values()).contains("t1", "t2");
    }

    @Test
    void backup_has_the_version_of_its_target() {
        fleet.submit("m1", DEADLINE_MILLIS);

        assertThat(fleet.backups).isEmpty();
    }
}
