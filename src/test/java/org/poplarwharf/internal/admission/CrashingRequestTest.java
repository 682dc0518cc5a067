package org.poplarwharf.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.internal.admission.AdmissionFixture.MODEL;
import static org.poplarwharf.internal.admission.AdmissionFixture.failureOf;

import io.activej.promise.Promise;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;

class CrashingRequestTest {
    /** Four places each, of which one is reserved for the class of the highest priority. */
    private static final int PLACES_OF_TWO_TARGETS = 6;

    private final AdmissionFixture fixture = new AdmissionFixture();

    @BeforeEach
    void serve_a_model_on_three_targets() {
        fixture.replicas.addReplica(MODEL, "t1", 4);
        fixture.replicas.addReplica(MODEL, "t2", 4);
        fixture.replicas.addReplica(MODEL, "t3", 4);
    }

    @Test
    void copies_of_a_request_that_was_never_answered_run_on_one_target() {
        Promise<Grant> first = fixture.admitWithFingerprint("new");
        Promise<Grant> second = fixture.admitWithFingerprint("new");

        assertThat(second.getResult().target()).isEqualTo(first.getResult().target());
    }

    @Test
    void copies_of_a_request_that_was_answered_spread_over_targets() {
        fixture.answer(fixture.admitWithFingerprint("known"));

        Promise<Grant> first = fixture.admitWithFingerprint("known");
        Promise<Grant> second = fixture.admitWithFingerprint("known");

        assertThat(second.getResult().target()).isNotEqualTo(first.getResult().target());
    }

    @Test
    void a_lost_connection_keeps_its_target_out_until_it_is_known_whether_it_died() {
        Promise<Grant> lost = fixture.admitWithFingerprint("any");
        String target = lost.getResult().target();
        fixture.loseConnection(lost);

        for (int i = 0; i < PLACES_OF_TWO_TARGETS; i++) {
            assertThat(fixture.admitWithFingerprint("other-" + i).getResult().target())
                    .isNotEqualTo(target);
        }
        fixture.admission.onTargetAlive(target);

        assertThat(fixture.admitWithFingerprint("last").getResult().target()).isEqualTo(target);
    }

    @Test
    void the_second_death_condemns_the_crashing_request_and_no_other() {
        Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
        String firstTarget = crashing.getResult().target();
        fixture.loseConnection(crashing);
        fixture.admission.onTargetDied(firstTarget, "death-1");

        Promise<Grant> again = fixture.admitWithFingerprint("crashing");
        String secondTarget = again.getResult().target();
        Promise<Grant> neighbour = askOn(secondTarget);
        fixture.loseConnection(again);
        fixture.loseConnection(neighbour);
        TargetDeathReport report = fixture.admission.onTargetDied(secondTarget, "death-2");

        assertThat(report.soleSuspect()).containsExactly("crashing");
        assertThat(failureOf(fixture.admitWithFingerprint("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.admitWithFingerprint("neighbour-of-" + secondTarget).isException())
                .isFalse();
    }

    private Promise<Grant> askOn(String target) {
        for (int i = 0; i < 8; i++) {
            Promise<Grant> granted = fixture.admitWithFingerprint("neighbour-of-" + target);
            if (granted.getResult().target().equals(target)) {
                return granted;
            }
            fixture.answer(granted);
            Promise<Grant> filler = fixture.admitWithFingerprint("filler-" + i);
            assertThat(filler.isResult()).isTrue();
        }
        throw new AssertionError("no place was granted on " + target);
    }

    @Test
    void an_innocent_request_that_was_beside_two_deaths_is_served_and_cleared() {
        fixture.replicas.addReplica(MODEL, "t4", 4);
        Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
        Promise<Grant> innocent = fixture.admitWithFingerprint("innocent");
        String innocentTarget = innocent.getResult().target();
        fixture.loseConnection(crashing);
        fixture.loseConnection(innocent);
        fixture.admission.onTargetDied(crashing.getResult().target(), "death-1");
        fixture.admission.onTargetDied(innocentTarget, "death-2");

        Promise<Grant> crashingAgain = fixture.admitWithFingerprint("crashing");
        Promise<Grant> innocentAgain = fixture.admitWithFingerprint("innocent");
        assertThat(innocentAgain.getResult().target())
                .isNotEqualTo(crashingAgain.getResult().target());
        fixture.answer(innocentAgain);
        fixture.loseConnection(crashingAgain);
        fixture.admission.onTargetDied(crashingAgain.getResult().target(), "death-3");

        assertThat(fixture.replicas.cleared).containsExactly("innocent");
        assertThat(failureOf(fixture.admitWithFingerprint("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.admitWithFingerprint("innocent").isException()).isFalse();
    }

    @Test
    void an_operator_can_lift_a_condemnation() {
        for (int death = 1; death <= 2; death++) {
            Promise<Grant> crashing = fixture.admitWithFingerprint("crashing");
            fixture.loseConnection(crashing);
            fixture.admission.onTargetDied(crashing.getResult().target(), "death-" + death);
        }
        assertThat(fixture.admitWithFingerprint("crashing").isException()).isTrue();

        fixture.admission.clearSuspect("crashing");

        assertThat(fixture.admitWithFingerprint("crashing").isResult()).isTrue();
    }
}
