package org.poplarwharf.internal.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.RequestTraits;

class CrashHistoryTest {
    private static final String REQUEST = "f";
    private static final String SERVICE = "lm";
    private static final int MAX_SUSPECT_COUNT = 10_000;

    private final CrashHistory history = new CrashHistory();

    private static TargetCrash crash(String fingerprint, String target) {
        return new TargetCrash(fingerprint, target, 1, "n1", 0);
    }

    /** Returns the suspects of a request whose prompt has these parts, the last one of its own. */
    static RequestSuspects suspects(String fingerprint, String... promptPartIds) {
        return new RequestSuspects(
                fingerprint,
                SERVICE,
                new RequestTraits(
                        "r",
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        Stream.of(promptPartIds)
                                .map(id -> new RequestTraits.PromptPart(id, 10))
                                .toList(),
                        OptionalLong.empty(),
                        Optional.empty()));
    }

    @Test
    void request_is_refused_after_two_crashes_until_the_retention_time_has_passed() {
        history.addAll(List.of(crash(REQUEST, "t1")), 0);
        assertThat(history.refusalMillis(REQUEST, 0)).isEmpty();

        history.addAll(List.of(crash(REQUEST, "t2")), 100);

        assertThat(history.refusalMillis(REQUEST, 200)).isEqualTo(OptionalLong.of(CrashHistory.RETENTION_MILLIS - 100));
        assertThat(history.refusalMillis("other", 200)).isEmpty();
        assertThat(history.refusalMillis(REQUEST, 100 + CrashHistory.RETENTION_MILLIS))
                .isEmpty();
    }

    @Test
    void crash_that_arrives_twice_counts_once() {
        assertThat(history.addAll(List.of(crash(REQUEST, "t1")), 0)).hasSize(1);

        assertThat(history.addAll(List.of(crash(REQUEST, "t1")), 10)).isEmpty();
        assertThat(history.refusalMillis(REQUEST, 20)).isEmpty();
    }

    @Test
    void second_crash_counts_although_the_entry_of_the_restart_has_not_been_read() {
        history.addAll(List.of(history.crashOf(REQUEST, "t1", 1, "n1", 0)), 50);
        TargetCrash seenByAnotherRun = history.crashOf(REQUEST, "t1", 1, "n1", 40);
        TargetCrash afterRestart = history.crashOf(REQUEST, "t1", 1, "n1", 60);

        assertThat(history.addAll(List.of(seenByAnotherRun), 70)).isEmpty();
        assertThat(history.addAll(List.of(afterRestart), 80)).hasSize(1);
        assertThat(history.refusalMillis(REQUEST, 90)).isPresent();
    }

    @Test
    void crashes_of_requests_that_are_not_refused_need_not_be_passed_on() {
        history.addAll(List.of(crash(REQUEST, "t1"), crash("other", "t1")), 0);
        assertThat(history.crashesOfRefused(history.crashes(), 1)).isEmpty();

        List<TargetCrash> added = history.addAll(List.of(crash(REQUEST, "t2")), 1);

        assertThat(history.crashesOfRefused(added, 2))
                .containsExactlyInAnyOrder(crash(REQUEST, "t1"), crash(REQUEST, "t2"));
    }

    @Test
    void second_crash_that_another_node_detects_counts_although_it_does_not_know_the_first() {
        history.addAll(List.of(history.crashOf(REQUEST, "t1", 1, "n1", 0)), 50);

        assertThat(history.addAll(List.of(new CrashHistory().crashOf(REQUEST, "t1", 1, "n2", 60)), 80))
                .hasSize(1);
        assertThat(history.refusalMillis(REQUEST, 90)).isPresent();
    }

    @Test
    void expired_crashes_are_removed_and_returned() {
        history.addAll(List.of(crash(REQUEST, "t1"), crash("other", "t1")), 0);
        history.addAll(List.of(crash("other", "t2")), 10);

        assertThat(history.removeExpired(CrashHistory.RETENTION_MILLIS)).containsExactly(crash(REQUEST, "t1"));
        assertThat(history.crashes()).containsExactlyInAnyOrder(crash("other", "t1"), crash("other", "t2"));
    }

    @Test
    void oldest_request_is_removed_first_if_there_are_too_many() {
        IntStream.rangeClosed(0, MAX_SUSPECT_COUNT)
                .forEach(number -> history.addAll(List.of(crash("f" + number, "t1")), number));

        assertThat(history.crashes()).hasSize(MAX_SUSPECT_COUNT);
        assertThat(history.crashCount("f0")).isZero();
        assertThat(history.crashCount("f1")).isEqualTo(1);
    }

    @Property
    void nodes_that_learn_the_same_crashes_in_any_order_refuse_the_same_requests(
            @ForAll @Size(max = 20) List<@IntRange(max = 30) Integer> numbers, @ForAll Random random) {
        List<TargetCrash> crashes = new ArrayList<>(numbers.stream()
                .map(number -> crash("f" + number % 5, "t" + number / 5))
                .toList());
        CrashHistory one = new CrashHistory();
        CrashHistory other = new CrashHistory();
        crashes.forEach(crash -> one.addAll(List.of(crash), 0));
        Collections.shuffle(crashes, random);
        crashes.forEach(crash -> other.addAll(List.of(crash, crash), 0));

        for (int i = 0; i < 5; i++) {
            assertThat(other.refusalMillis("f" + i, 1)).isEqualTo(one.refusalMillis("f" + i, 1));
        }
    }
}
