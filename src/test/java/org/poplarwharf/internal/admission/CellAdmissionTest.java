package org.poplarwharf.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.admission.AdmissionFixture.LOOKUP;
import static org.poplarwharf.internal.admission.AdmissionFixture.MODEL;
import static org.poplarwharf.internal.admission.AdmissionFixture.REVIEW;
import static org.poplarwharf.internal.admission.AdmissionFixture.failureOf;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class CellAdmissionTest {
    private final AdmissionFixture fixture = new AdmissionFixture();

    @Test
    void a_request_for_a_loaded_model_is_granted_at_once() {
        fixture.replicas.addReplica(MODEL, "t1", 2);

        Promise<Grant> granted = fixture.admit(LOOKUP, 1_000);

        assertThat(granted.getResult().target()).isEqualTo("t1");
        assertThat(granted.getResult().coldStart()).isFalse();
    }

    @Test
    void a_request_whose_wait_exceeds_its_deadline_is_refused_at_once_with_a_time_to_return() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        Promise<Grant> first = fixture.admit(REVIEW, 60_000);
        fixture.finish(first, GrantCompletion.Outcome.ANSWERED, 5_000);
        fixture.admit(REVIEW, 60_000);

        Promise<Grant> refused = fixture.admit(REVIEW, 3_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.DEADLINE_UNREACHABLE);
        assertThat(failureOf(refused).retryAfterMillis().getAsLong()).isGreaterThanOrEqualTo(1_000);
    }

    @Test
    void a_lookup_goes_before_all_queued_reviews() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        Promise<Grant> running = fixture.admit(REVIEW, 60_000);
        List<Promise<Grant>> reviews = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            reviews.add(fixture.admit(REVIEW, 60_000));
        }
        Promise<Grant> lookup = fixture.admit(LOOKUP, 2_000);

        fixture.answer(running);

        assertThat(lookup.isResult()).isTrue();
        assertThat(reviews).noneMatch(Promise::isResult);
    }

    @Test
    void reviews_leave_places_free_for_lookups() {
        fixture.replicas.addReplica(MODEL, "t1", 10);
        for (int i = 0; i < 20; i++) {
            fixture.admit(REVIEW, 60_000);
        }

        assertThat(fixture.admission.counts().inFlight()).isEqualTo(8);
        assertThat(fixture.admit(LOOKUP, 2_000).isResult()).isTrue();
        assertThat(fixture.admit(LOOKUP, 2_000).isResult()).isTrue();
    }

    @Test
    void a_review_is_served_in_the_end_although_lookups_keep_arriving() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        Promise<Grant> running = fixture.admit(LOOKUP, 60_000);
        Promise<Grant> review = fixture.admit(REVIEW, 60_000);
        for (int i = 0; i < 12 && !review.isResult(); i++) {
            Promise<Grant> next = fixture.admit(LOOKUP, 60_000);
            fixture.answer(running);
            running = next;
        }

        assertThat(review.isResult()).isTrue();
    }

    @Test
    void tenants_share_a_busy_model_by_weight() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        Promise<Grant> running = fixture.admit(REVIEW, "small");
        List<Promise<Grant>> small = new ArrayList<>();
        List<Promise<Grant>> large = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            small.add(fixture.admit(REVIEW, "small"));
            large.add(fixture.admit(REVIEW, "large"));
        }
        List<Promise<Grant>> answered = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            fixture.answer(running);
            answered.add(running);
            running = Stream.concat(small.stream(), large.stream())
                    .filter(granted -> granted.isResult() && !answered.contains(granted))
                    .findFirst()
                    .orElseThrow();
        }

        long smallServed = small.stream().filter(Promise::isResult).count();
        long largeServed = large.stream().filter(Promise::isResult).count();
        assertThat(largeServed).isBetween(2 * smallServed, 4 * smallServed);
    }

    @Test
    void a_request_for_an_absent_model_waits_for_its_load() {
        fixture.replicas.readyInMillis = OptionalLong.of(500);
        Promise<Grant> cold = fixture.admit(REVIEW, 60_000);
        assertThat(cold.isComplete()).isFalse();

        fixture.replicas.addReplica(MODEL, "t1", 2);

        assertThat(cold.getResult().coldStart()).isTrue();
    }

    @Test
    void a_request_that_a_load_can_not_serve_in_time_is_refused_at_once_and_keeps_the_load_wanted() {
        fixture.replicas.readyInMillis = OptionalLong.of(9_000);

        Promise<Grant> refused = fixture.admit(LOOKUP, 2_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.DEADLINE_UNREACHABLE);
        assertThat(failureOf(refused).retryAfterMillis().getAsLong()).isEqualTo(9_000);
        assertThat(fixture.replicas.lastWaitingCount).isEqualTo(1);
    }

    @Test
    void a_request_that_no_load_can_serve_is_refused_with_the_reason() {
        fixture.replicas.whyNotReady = FailureCode.LOG_UNAVAILABLE;

        Promise<Grant> refused = fixture.admit(LOOKUP, 2_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void a_load_that_turns_out_too_slow_refuses_its_waiting_requests_before_their_deadline() {
        fixture.replicas.readyInMillis = OptionalLong.of(500);
        Promise<Grant> cold = fixture.admit(LOOKUP, 2_000);
        fixture.replicas.readyInMillis = OptionalLong.of(5_000);

        fixture.advanceMillis(100);

        assertThat(failureOf(cold).code()).isEqualTo(FailureCode.DEADLINE_UNREACHABLE);
    }

    @Test
    void a_waiting_request_is_refused_when_its_deadline_passes() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);
        Promise<Grant> waiting = fixture.admit(LOOKUP, 2_000);

        fixture.advanceMillis(2_000);

        assertThat(failureOf(waiting).code()).isEqualTo(FailureCode.DEADLINE_EXCEEDED);
        assertThat(failureOf(waiting).code().ran()).isEqualTo(FailureCode.Ran.NO);
    }

    @Test
    void a_full_queue_refuses_only_its_own_class() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);
        for (int i = 0; i < 50; i++) {
            fixture.admit(REVIEW, 60_000);
        }

        assertThat(failureOf(fixture.admit(REVIEW, 60_000)).code()).isEqualTo(FailureCode.QUEUE_FULL);
        assertThat(fixture.admit(LOOKUP, 2_000).isException()).isFalse();
    }

    @Test
    void the_places_of_a_lost_node_are_freed() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);

        fixture.admission.onNodeLost("n1");

        assertThat(fixture.admit(REVIEW, 60_000).isResult()).isTrue();
    }

    @Test
    void a_holder_that_gives_up_its_cell_refuses_what_waits_as_not_run() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);
        Promise<Grant> waiting = fixture.admit(REVIEW, 60_000);

        fixture.admission.close();

        assertThat(failureOf(waiting).code()).isEqualTo(FailureCode.NO_HOLDER);
        assertThat(failureOf(fixture.admit(LOOKUP, 1_000)).code()).isEqualTo(FailureCode.NO_HOLDER);
    }
}
