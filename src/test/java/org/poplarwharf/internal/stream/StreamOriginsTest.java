package org.poplarwharf.internal.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private long nowMillis = 1_000_000;
    private Optional<Set<String>> current = Optional.of(Set.of("v1"));
    private final StreamOrigins origins = new StreamOrigins(() -> nowMillis, service -> current);

    @Test
    void version_of_a_recorded_stream_is_known_for_a_bounded_time() {
        current = Optional.of(Set.of("v1", "v2"));
        origins.record(new StreamOrigin("s", "lm", "v1"));
        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");

        nowMillis += StreamOrigins.RETENTION_MILLIS;
        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
    }

    @Test
    void stream_of_another_service_is_not_continued() {
        nowMillis += StreamOrigins.RETENTION_MILLIS;
        origins.record(new StreamOrigin("s", "lm", "v1"));

        assertThat(origins.softwareVersionOf("s", "other")).isEmpty();
    }

    @Test
    void first_record_of_a_stream_counts() {
        origins.record(new StreamOrigin("s", "lm", "v1"));

        assertThat(origins.record(new StreamOrigin("s", "lm", "v2"))).isFalse();
        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");
    }

    @Test
    void unknown_stream_has_the_only_version_once_no_other_can_have_begun_it() {
        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
        nowMillis += StreamOrigins.RETENTION_MILLIS;

        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");
    }

    @Test
    void unknown_stream_has_no_known_version_soon_after_another_version_is_gone() {
        nowMillis += StreamOrigins.RETENTION_MILLIS;
        origins.recordGone("lm", "v0");
        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
        nowMillis += StreamOrigins.RETENTION_MILLIS;

        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");
    }

    @Test
    void unknown_stream_has_no_known_version_while_the_list_of_targets_may_be_out_of_date() {
        nowMillis += StreamOrigins.RETENTION_MILLIS;
        current = Optional.empty();

        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
    }

    @Test
    void unknown_stream_has_no_known_version_soon_after_a_snapshot_of_the_targets() {
        nowMillis += StreamOrigins.RETENTION_MILLIS;
        origins.restartWatching();
        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
        nowMillis += StreamOrigins.RETENTION_MILLIS;

        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");
    }

    @Test
    void unknown_stream_has_the_only_version_at_once_if_the_earlier_versions_are_known() {
        origins.learnEarlierVersions(service -> service.equals("lm") ? Optional.of(Set.of("v1")) : Optional.empty());

        assertThat(origins.softwareVersionOf("s", "lm")).contains("v1");
        assertThat(origins.softwareVersionOf("s", "other")).isEmpty();
    }

    @Test
    void unknown_stream_has_no_known_version_if_an_earlier_version_may_have_begun_it() {
        origins.learnEarlierVersions(service -> Optional.of(Set.of("v0")));

        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
    }

    @Test
    void earlier_versions_are_forgotten_with_a_new_snapshot_of_the_targets() {
        origins.learnEarlierVersions(service -> Optional.of(Set.of("v1")));
        origins.restartWatching();

        assertThat(origins.softwareVersionOf("s", "lm")).isEmpty();
    }

    @Test
    void number_of_streams_is_bounded() {
        current = Optional.of(Set.of("v1", "v2"));
        for (int i = 0; i <= StreamOrigins.MAX_STREAM_COUNT; i++) {
            origins.record(new StreamOrigin("s" + i, "lm", "v1"));
        }

        assertThat(origins.find("s0")).isEmpty();
        assertThat(origins.find("s" + StreamOrigins.MAX_STREAM_COUNT)).isPresent();
    }
}
