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

class CellAdmissionControllerTest {
    private final AdmissionFixture fixture = new AdmissionFixture();

    @Test
    void a_request_for_a_loaded_model_is_granted_immediately() {
        fixture.replicas.addReplica(MODEL, "t1", 2);

        Promise<Grant> grant = fixture.admit(LOOKUP, 1_000);

        assertThat(grant.getResult().target()).isEqualTo("t1");
        assertThat(grant.getResult().coldStart()).isFalse();
    }

    @Test
    void a_request_whose_wait_exceeds_its_deadline_is_refused_immediately_with_a_retry_time() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        Promise<Grant> first = fixture.admit(REVIEW, 60_000);
        fixture.finish(first, GrantCompletion.Outcome.ANSWERED, 5_000);
        fixture.admit(REVIEW, 60_000);

        Promise<Grant> refused = fixture.admit(REVIEW, 3_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.DEADLINE_UNREACHABLE);
        assertThat(failureOf(refused).retryAfterMillis().getAsLong()).isGreaterThanOrEqualTo(1_000);
    }

    @Test
    void a_high_priority_request_is_granted_before_all_queued_low_priority_requests() {
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
    void low_priority_requests_leave_permits_free_for_high_priority_requests() {
        fixture.replicas.addReplica(MODEL, "t1", 10);
        for (int i = 0; i < 20; i++) {
            fixture.admit(REVIEW, 60_000);
        }

        assertThat(fixture.controller.counts().inFlight()).isEqualTo(8);
        assertThat(fixture.admit(LOOKUP, 2_000).isResult()).isTrue();
        assertThat(fixture.admit(LOOKUP, 2_000).isResult()).isTrue();
    }

    @Test
    void a_low_priority_request_does_not_starve_while_high_priority_requests_keep_arriving() {
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
                    .filter(grant -> grant.isResult() && !answered.contains(grant))
                    .findFirst()
                    .orElseThrow();
        }

        long smallServed = small.stream().filter(Promise::isResult).count();
        long largeServed = large.stream().filter(Promise::isResult).count();
        assertThat(largeServed).isBetween(2 * smallServed, 4 * smallServed);
    }

    @Test
    void a_request_for_a_model_that_is_not_loaded_waits_for_its_load() {
        fixture.replicas.readyInMillis = OptionalLong.of(500);
        Promise<Grant> cold = fixture.admit(REVIEW, 60_000);
        assertThat(cold.isComplete()).isFalse();

        fixture.replicas.addReplica(MODEL, "t1", 2);

        assertThat(cold.getResult().coldStart()).isTrue();
    }

    @Test
    void a_request_that_a_load_cannot_serve_in_time_is_refused_immediately_and_its_demand_is_kept() {
        fixture.replicas.readyInMillis = OptionalLong.of(9_000);

        Promise<Grant> refused = fixture.admit(LOOKUP, 2_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.DEADLINE_UNREACHABLE);
        assertThat(failureOf(refused).retryAfterMillis().getAsLong()).isEqualTo(9_000);
        assertThat(fixture.replicas.lastWaitingCount).isEqualTo(1);
    }

    @Test
    void a_request_for_a_model_that_cannot_be_loaded_is_refused_with_the_reason() {
        fixture.replicas.whyNotReady = FailureCode.LOG_UNAVAILABLE;

        Promise<Grant> refused = fixture.admit(LOOKUP, 2_000);

        assertThat(failureOf(refused).code()).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void requests_waiting_for_a_load_that_became_too_slow_are_refused_before_their_deadline() {
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
    void a_full_queue_refuses_only_requests_of_its_own_class() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);
        for (int i = 0; i < 50; i++) {
            fixture.admit(REVIEW, 60_000);
        }

        assertThat(failureOf(fixture.admit(REVIEW, 60_000)).code()).isEqualTo(FailureCode.QUEUE_FULL);
        assertThat(fixture.admit(LOOKUP, 2_000).isException()).isFalse();
    }

    @Test
    void the_permits_of_a_lost_node_are_released() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);

        fixture.controller.onNodeLost("n1");

        assertThat(fixture.admit(REVIEW, 60_000).isResult()).isTrue();
    }

    @Test
    void waiting_requests_are_refused_as_not_run_when_the_lease_is_lost() {
        fixture.replicas.addReplica(MODEL, "t1", 1);
        fixture.admit(REVIEW, 60_000);
        Promise<Grant> waiting = fixture.admit(REVIEW, 60_000);

        fixture.controller.close();

        assertThat(failureOf(waiting).code()).isEqualTo(FailureCode.NO_HOLDER);
        assertThat(failureOf(fixture.admit(LOOKUP, 1_000)).code()).isEqualTo(FailureCode.NO_HOLDER);
    }
}
