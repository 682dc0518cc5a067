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
        fixture.replicas.serve(MODEL, "t1", 4);
        fixture.replicas.serve(MODEL, "t2", 4);
        fixture.replicas.serve(MODEL, "t3", 4);
    }

    @Test
    void copies_of_a_request_that_was_never_answered_run_on_one_target() {
        Promise<Grant> first = fixture.askAs("new");
        Promise<Grant> second = fixture.askAs("new");

        assertThat(second.getResult().target()).isEqualTo(first.getResult().target());
    }

    @Test
    void copies_of_a_request_that_was_answered_spread_over_targets() {
        fixture.answer(fixture.askAs("known"));

        Promise<Grant> first = fixture.askAs("known");
        Promise<Grant> second = fixture.askAs("known");

        assertThat(second.getResult().target()).isNotEqualTo(first.getResult().target());
    }

    @Test
    void a_lost_connection_keeps_its_target_out_until_it_is_known_whether_it_died() {
        Promise<Grant> lost = fixture.askAs("any");
        String target = lost.getResult().target();
        fixture.lose(lost);

        for (int i = 0; i < PLACES_OF_TWO_TARGETS; i++) {
            assertThat(fixture.askAs("other-" + i).getResult().target()).isNotEqualTo(target);
        }
        fixture.admission.targetAlive(target);

        assertThat(fixture.askAs("last").getResult().target()).isEqualTo(target);
    }

    @Test
    void the_second_death_condemns_the_crashing_request_and_no_other() {
        Promise<Grant> crashing = fixture.askAs("crashing");
        String firstTarget = crashing.getResult().target();
        fixture.lose(crashing);
        fixture.admission.targetDied(firstTarget, "death-1");

        Promise<Grant> again = fixture.askAs("crashing");
        String secondTarget = again.getResult().target();
        Promise<Grant> neighbour = askOn(secondTarget);
        fixture.lose(again);
        fixture.lose(neighbour);
        DeathReport report = fixture.admission.targetDied(secondTarget, "death-2");

        assertThat(report.soleSuspect()).containsExactly("crashing");
        assertThat(failureOf(fixture.askAs("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.askAs("neighbour-of-" + secondTarget).isException()).isFalse();
    }

    private Promise<Grant> askOn(String target) {
        for (int i = 0; i < 8; i++) {
            Promise<Grant> granted = fixture.askAs("neighbour-of-" + target);
            if (granted.getResult().target().equals(target)) {
                return granted;
            }
            fixture.answer(granted);
            Promise<Grant> filler = fixture.askAs("filler-" + i);
            assertThat(filler.isResult()).isTrue();
        }
        throw new AssertionError("no place was granted on " + target);
    }

    @Test
    void an_innocent_request_that_was_beside_two_deaths_is_served_and_cleared() {
        fixture.replicas.serve(MODEL, "t4", 4);
        Promise<Grant> crashing = fixture.askAs("crashing");
        Promise<Grant> innocent = fixture.askAs("innocent");
        String innocentTarget = innocent.getResult().target();
        fixture.lose(crashing);
        fixture.lose(innocent);
        fixture.admission.targetDied(crashing.getResult().target(), "death-1");
        fixture.admission.targetDied(innocentTarget, "death-2");

        Promise<Grant> crashingAgain = fixture.askAs("crashing");
        Promise<Grant> innocentAgain = fixture.askAs("innocent");
        assertThat(innocentAgain.getResult().target())
                .isNotEqualTo(crashingAgain.getResult().target());
        fixture.answer(innocentAgain);
        fixture.lose(crashingAgain);
        fixture.admission.targetDied(crashingAgain.getResult().target(), "death-3");

        assertThat(fixture.replicas.cleared).containsExactly("innocent");
        assertThat(failureOf(fixture.askAs("crashing")).code()).isEqualTo(FailureCode.REQUEST_CONDEMNED);
        assertThat(fixture.askAs("innocent").isException()).isFalse();
    }

    @Test
    void an_operator_can_lift_a_condemnation() {
        for (int death = 1; death <= 2; death++) {
            Promise<Grant> crashing = fixture.askAs("crashing");
            fixture.lose(crashing);
            fixture.admission.targetDied(crashing.getResult().target(), "death-" + death);
        }
        assertThat(fixture.askAs("crashing").isException()).isTrue();

        fixture.admission.lifted("crashing");

        assertThat(fixture.askAs("crashing").isResult()).isTrue();
    }
}
