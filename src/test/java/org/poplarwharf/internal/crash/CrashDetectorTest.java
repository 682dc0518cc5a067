package org.poplarwharf.internal.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.Target;

class CrashDetectorTest {
    private static final long RETENTION_MILLIS = 5_000;

    private final Map<String, Target> listed = new HashMap<>();
    private final List<Consumer<Boolean>> probes = new ArrayList<>();
    private final List<TargetCrash> reported = new ArrayList<>();
    private final Target target = target(1, false);
    private long nowMillis = 1_000;
    private final CrashDetector detector = new CrashDetector(
            "n1",
            new CrashHistory(),
            id -> Optional.ofNullable(listed.get(id)),
            (address, refused) -> probes.add(refused),
            () -> nowMillis,
            RETENTION_MILLIS,
            reported::addAll,
            suspects -> {});

    CrashDetectorTest() {
        list(target);
    }

    private static Target target(long startedAtMillis, boolean leaving) {
        return new Target(
                "t",
                startedAtMillis,
                1,
                "s",
                new InetSocketAddress("127.0.0.1", 1),
                "z",
                1,
                leaving,
                OptionalLong.empty(),
                "v1",
                List.of(),
                Set.of(),
                Set.of());
    }

    private void list(Target latest) {
        listed.put(latest.id(), latest);
    }

    private static RequestSuspects suspects(String fingerprint, String... promptPartIds) {
        return CrashHistoryTest.suspects(fingerprint, promptPartIds);
    }

    private List<String> reportedFingerprints() {
        return reported.stream().map(TargetCrash::suspectId).toList();
    }

    @Test
    void connection_that_breaks_although_its_target_accepts_others_is_no_crash() {
        detector.recordClosedRun(target, suspects("f"), 900);
        probes.get(0).accept(false);

        assertThat(reported).isEmpty();
    }

    @Test
    void all_runs_that_a_target_lost_are_reported_once_it_refuses_connections() {
        detector.recordClosedRun(target, suspects("first"), 800);
        detector.recordClosedRun(target, suspects("second"), 900);
        assertThat(probes).hasSize(1);
        probes.get(0).accept(true);

        assertThat(reportedFingerprints()).containsExactly("second", "first");
    }

    @Test
    void lost_runs_are_reported_once_their_target_has_a_new_incarnation_or_no_entry() {
        detector.recordAbandonedRun(target, suspects("f"), 900);
        assertThat(probes).isEmpty();
        detector.targetRemoved(target);

        assertThat(reported).containsExactly(new TargetCrash("f", "t", 1, "n1", 0));
    }

    @Test
    void run_that_ends_after_the_restart_of_its_target_was_read_is_reported_at_once() {
        list(target(2, false));
        detector.recordAbandonedRun(target, suspects("f"), 900);

        assertThat(reportedFingerprints()).containsExactly("f");
    }

    @Test
    void run_that_is_lost_at_a_target_that_leaves_is_not_reported() {
        detector.recordClosedRun(target, suspects("before"), 900);
        list(target(1, true));
        probes.get(0).accept(true);
        detector.targetRemoved(listed.remove("t"));
        detector.recordClosedRun(target, suspects("after"), 900);

        assertThat(reported).isEmpty();
    }

    @Test
    void run_that_was_lost_long_before_its_target_crashed_is_not_reported() {
        detector.recordAbandonedRun(target, suspects("old"), 900);
        nowMillis += RETENTION_MILLIS + 1;
        detector.recordAbandonedRun(target, suspects("new"), 900);
        detector.targetRemoved(target);

        assertThat(reportedFingerprints()).containsExactly("new");
    }

    @Test
    void shared_parts_of_the_prompt_are_reported_with_the_request() {
        detector.recordAbandonedRun(target, suspects("f", "shared", "last"), 900);
        detector.targetRemoved(target);

        assertThat(reported)
                .extracting(TargetCrash::suspect)
                .hasExactlyElementsOfTypes(Suspect.WholeRequest.class, Suspect.PromptPart.class);
    }
}
