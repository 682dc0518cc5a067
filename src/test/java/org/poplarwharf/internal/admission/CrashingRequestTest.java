package org.poplarwharf.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.admission.AdmissionFixture.MODEL;
import static org.poplarwharf.internal.admission.AdmissionFixture.failureOf;

import io.activej.promise.Promise;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class CrashingRequestTest {
    /**
     * Each target has a concurrency limit of four, of which one is reserved for the class with the highest
     * priority.
     */
    private static final int TWO_TARGETS_PERMIT_COUNT = 6;

    private final AdmissionFixture fixture = new AdmissionFixture();

    @BeforeEach
    void add_a_replica_on_three_targets() {
        fixture.replicas.addReplica(MODEL, "t1", 4);
        fixture.replicas.addReplica(MODEL, "t2", 4);
        fixture.replicas.addReplica(MODEL, "t3", 4);
    }

    @Test
    void copies_of_a_request_without_a_response_run_on_one_target() {
        Promise<Grant> first = fixture.admitWithFingerprint("new");
        Promise<Grant> second = fixture.admitWithFingerprint("new");

        assertThat(second.getResult().target()).isEqualTo(first.getResult().target());
    }

    @Test
    void copies_of_an_answered_request_are_spread_over_targets() {
        fixture.answer(fixture.admitWithFingerprint("known"));

        Promise<Grant> first = fixture.admitWithFingerprint("known");
        Promise<Grant> second = fixture.admitWithFingerprint("known");

        assertThat(second.getResult().target()).isNotEqualTo(first.getResult().target());
    }

    @Test
    void a_target_with_a_lost_connection_gets_no_requests_until_it_is_known_to_be_alive() {
        Promise<Grant> lost = fixture.admitWithFingerprint("any");
        String target = lost.getResult().target();
        fixture.loseConnection(lost);

        for (int i = 0; i < TWO_TARGETS_PERMIT_COUNT; i++) {
            assertThat(fixture.admitWithFingerprint("other-" + i).getResult().target())
                    .isNotEqualTo(target);
        }
        fixture.controller.onTargetAlive(target);

        assertThat(fixture.admitWithFingerprint("last").getResult().target()).isEqualTo(target);
    }

    @Test
    void the_second_target_death_condemns_only_the_crashing_request() {
        Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
        String firstTarget = crashing.getResult().target();
        fixture.loseConnection(crashing);
        fixture.controller.onTargetDied(firstTarget, "death-1");

        Promise<Grant> secondCrashing = fixture.admitWithFingerprint("crashing");
        String secondTarget = secondCrashing.getResult().target();
        Promise<Grant> neighbour = admitOnTarget(secondTarget);
        fixture.loseConnection(secondCrashing);
        fixture.loseConnection(neighbour);
        TargetDeathReport report = fixture.controller.onTargetDied(secondTarget, "death-2");

        assertThat(report.soleSuspect()).containsExactly("crashing");
        assertThat(failureOf(fixture.admitWithFingerprint("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.admitWithFingerprint("neighbour-of-" + secondTarget).isException())
                .isFalse();
    }

    private Promise<Grant> admitOnTarget(String target) {
        for (int i = 0; i < 8; i++) {
            Promise<Grant> grant = fixture.admitWithFingerprint("neighbour-of-" + target);
            if (grant.getResult().target().equals(target)) {
                return grant;
            }
            fixture.answer(grant);
            Promise<Grant> filler = fixture.admitWithFingerprint("filler-" + i);
            assertThat(filler.isResult()).isTrue();
        }
        throw new AssertionError("no permit was granted on " + target);
    }

    @Test
    void a_harmless_request_in_flight_during_a_target_death_is_served_and_cleared() {
        fixture.replicas.addReplica(MODEL, "t4", 4);
        Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
        Promise<Grant> harmless = fixture.admitWithFingerprint("innocent");
        String harmlessTarget = harmless.getResult().target();
        fixture.loseConnection(crashing);
        fixture.loseConnection(harmless);
        fixture.controller.onTargetDied(crashing.getResult().target(), "death-1");
        fixture.controller.onTargetDied(harmlessTarget, "death-2");

        Promise<Grant> secondCrashing = fixture.admitWithFingerprint("crashing");
        Promise<Grant> secondHarmless = fixture.admitWithFingerprint("innocent");
        assertThat(secondHarmless.getResult().target())
                .isNotEqualTo(secondCrashing.getResult().target());
        fixture.answer(secondHarmless);
        fixture.loseConnection(secondCrashing);
        fixture.controller.onTargetDied(secondCrashing.getResult().target(), "death-3");

        assertThat(fixture.replicas.clearedFingerprints).containsExactly("innocent");
        assertThat(failureOf(fixture.admitWithFingerprint("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.admitWithFingerprint("innocent").isException()).isFalse();
    }

    @Test
    void an_operator_can_clear_a_condemned_request() {
        for (int death = 1; death <= 2; death++) {
            Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
            fixture.loseConnection(crashing);
            fixture.controller.onTargetDied(crashing.getResult().target(), "death-" + death);
        }
        assertThat(fixture.admitWithFingerprint("crashing").isException()).isTrue();

        fixture.controller.clearSuspect("crashing");

        assertThat(fixture.admitWithFingerprint("crashing").isResult()).isTrue();
    }
}
