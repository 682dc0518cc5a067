package org.poplarwharf.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.soak.FaultInjector.Kind;

class LossCheckTest {
    private static final long SENT_MILLIS = 10_000;
    private static final long END_MILLIS = 11_000;
    private static final int BROKEN_STREAM = 200;
    private static final int NO_RESPONSE = 0;
    private static final int GIVEN_UP = 502;

    private final TargetActivity activity = new TargetActivity();
    private final FaultTimeline faults = new FaultTimeline();
    private final List<SoakTarget> targets = new ArrayList<>();

    @BeforeEach
    void startTargets() throws IOException {
        targets.add(new SoakTarget("t0", false, activity, () -> 0, target -> {}));
        targets.add(new SoakTarget("t3", true, activity, () -> 0, target -> {}));
        targets.add(new SoakTarget("t4", true, activity, () -> 0, target -> {}));
        activity.add(new TargetActivity.Arrival("r1", "t3", SENT_MILLIS));
    }

    @AfterEach
    void closeTargets() throws IOException {
        for (SoakTarget target : targets) {
            target.server.close();
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"TARGET_SILENT", "TARGET_SLOW", "TARGET_LINK_SLOW", "TARGET_REFUSES", "TARGET_LIMITED"})
    void a_broken_stream_of_a_target_that_is_only_silent_or_slow_is_lost(Kind kind) {
        faults.recordStart(kind.name(), "t3", false, SENT_MILLIS);

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, END_MILLIS))).isTrue();
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {
                "TARGET_CRASHES",
                "TARGET_DRAINS",
                "TARGET_LINK_SILENT",
                "TARGET_LINK_ONE_WAY",
                "TARGET_LINK_FROZEN"
            })
    void a_target_that_the_request_may_have_reached_excuses_a_broken_stream(Kind kind) {
        faults.recordStart(kind.name(), "t4", false, SENT_MILLIS);

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, END_MILLIS))).isFalse();
    }

    @Test
    void the_copy_of_a_refusal_excuses_the_request_that_it_was_sent_to_and_no_other_one() {
        activity.add(new TargetActivity.LateCopy("r2", "t3", SENT_MILLIS));
        RecordedCall failed = call(GIVEN_UP, SENT_MILLIS, END_MILLIS);

        assertThat(isLost(failed)).isTrue();
        activity.add(new TargetActivity.LateCopy("r1", "t3", SENT_MILLIS));
        assertThat(isLost(failed)).isFalse();
    }

    @Test
    void the_copy_of_a_refusal_excuses_no_broken_stream_no_missing_response_and_no_failure_at_another_target() {
        activity.add(new TargetActivity.LateCopy("r1", "t3", SENT_MILLIS));

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, END_MILLIS))).isTrue();
        assertThat(isLost(call(NO_RESPONSE, SENT_MILLIS, END_MILLIS))).isTrue();
        activity.add(new TargetActivity.Arrival("r1", "t4", SENT_MILLIS));
        assertThat(isLost(call(GIVEN_UP, SENT_MILLIS, END_MILLIS))).isTrue();
    }

    @Test
    void a_fault_of_a_target_of_another_service_or_one_that_got_no_request_excuses_nothing() {
        faults.recordStart(Kind.TARGET_CRASHES.name(), "t0", false, SENT_MILLIS);
        faults.recordStart(Kind.TARGET_ABORTS_RESPONSES.name(), "t4", false, SENT_MILLIS);

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, END_MILLIS))).isTrue();
    }

    @Test
    void only_a_kill_of_the_gateway_of_the_request_excuses_its_loss() {
        faults.recordStart(Kind.GATEWAY_KILLED.name(), "g1", false, SENT_MILLIS);

        assertThat(isLost(call(NO_RESPONSE, SENT_MILLIS, END_MILLIS))).isTrue();
        faults.recordStart(Kind.GATEWAY_KILLED.name(), "g0", false, SENT_MILLIS);
        assertThat(isLost(call(NO_RESPONSE, SENT_MILLIS, END_MILLIS))).isFalse();
    }

    @Test
    void a_gateway_that_drains_excuses_a_loss_only_at_the_end_of_its_grace() {
        faults.recordStart(Kind.GATEWAY_TERMINATED.name(), "g0", true, SENT_MILLIS);

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, END_MILLIS))).isTrue();
        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, SENT_MILLIS + 3_700)))
                .isFalse();
    }

    @Test
    void a_request_that_a_draining_gateway_began_is_lost_if_it_is_cut_at_the_end_of_the_grace() {
        faults.recordStart(Kind.GATEWAY_TERMINATED.name(), "g0", true, SENT_MILLIS);
        RecordedCall cut = call(BROKEN_STREAM, SENT_MILLIS + 1_000, SENT_MILLIS + 3_700);

        assertThat(isLost(cut)).isTrue();
        faults.recordStart(Kind.TARGET_SLOW.name(), "t3", false, SENT_MILLIS + 1_000);
        assertThat(isLost(cut)).isFalse();
    }

    @Test
    void a_request_behind_a_whole_response_is_lost_if_its_gateway_closes_while_it_drains() {
        faults.recordStart(Kind.GATEWAY_TERMINATED.name(), "g0", true, SENT_MILLIS);

        assertThat(isLost(unread(SENT_MILLIS + 50))).isTrue();
        assertThat(isLost(unread(SENT_MILLIS))).isFalse();
    }

    @Test
    void a_deadline_excuses_a_broken_stream_but_not_a_request_without_any_response() {
        long deadlineMillis = SENT_MILLIS + CallKind.RESUMABLE.timeoutMillis;

        assertThat(isLost(call(BROKEN_STREAM, SENT_MILLIS, deadlineMillis))).isFalse();
        assertThat(isLost(call(NO_RESPONSE, SENT_MILLIS, deadlineMillis))).isTrue();
    }

    private boolean isLost(RecordedCall call) {
        return !new LossCheck(targets, activity, faults)
                .violations(List.of(call))
                .isEmpty();
    }

    /** Returns a call that reached no target and whose connection closed at once. */
    private static RecordedCall unread(long turnMillis) {
        return call("r2", NO_RESPONSE, turnMillis, turnMillis + 10);
    }

    private static RecordedCall call(int status, long turnMillis, long endMillis) {
        return call("r1", status, turnMillis, endMillis);
    }

    private static RecordedCall call(String id, int status, long turnMillis, long endMillis) {
        return new RecordedCall(
                id,
                CallKind.RESUMABLE,
                CallKind.RESUMABLE.path + id,
                "m1",
                "g0/1",
                SENT_MILLIS,
                OptionalLong.of(turnMillis),
                endMillis,
                status,
                true,
                id,
                "",
                false);
    }
}
