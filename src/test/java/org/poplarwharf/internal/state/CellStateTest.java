package org.poplarwharf.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.CallOutcome;
import org.poplarwharf.internal.state.CellRecord.Evidence;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;

class CellStateTest {
    private static final Author HOLDER = new Author("n1", 1);
    private static final Author CHALLENGER = new Author("n2", 1);
    private static final ArtifactId MODEL = ArtifactId.model("llama");
    private static final ArtifactId ADAPTER = ArtifactId.adapter("llama", "audit");

    private final CellState state = new CellState();
    private long offset = 100;
    private long epoch;

    @BeforeEach
    void claim_the_lease() {
        assertThat(apply(claim(HOLDER, -1, -1))).isTrue();
        epoch = state.epoch();
    }

    @Test
    void a_lease_claim_is_accepted_only_if_the_lease_was_not_renewed_since_it_was_read() {
        assertThat(apply(new CellRecord.LeaseRenewed(epoch))).isTrue();
        long renewalOffset = offset;

        assertThat(apply(claim(CHALLENGER, epoch, epoch))).isFalse();
        assertThat(apply(claim(CHALLENGER, epoch, renewalOffset))).isTrue();
        assertThat(state.epoch()).isEqualTo(offset);
        assertThat(apply(new CellRecord.LeaseRenewed(epoch))).isFalse();
        assertThat(apply(load(MODEL, "gpu", 10))).isFalse();
    }

    @Test
    void a_released_lease_can_be_claimed_with_any_renewal_offset() {
        apply(new CellRecord.LeaseReleased(epoch));

        assertThat(apply(claim(CHALLENGER, epoch, -7))).isTrue();
    }

    @Test
    void an_older_configuration_is_never_adopted_again_even_by_a_later_holder() {
        assertThat(apply(new CellRecord.ConfigAdopted(epoch, 7))).isTrue();
        apply(new CellRecord.LeaseReleased(epoch));
        apply(claim(CHALLENGER, epoch, -1));

        assertThat(apply(new CellRecord.ConfigAdopted(state.epoch(), 6))).isFalse();
        assertThat(state.adoptedVersion()).isEqualTo(7);
        CellState restored = new CellState();
        restored.restore(state.createCheckpoint(offset, new byte[0]));
        assertThat(restored.adoptedVersion()).isEqualTo(7);
    }

    @Test
    void a_load_is_rejected_if_it_would_exceed_the_memory_or_the_replica_limit() {
        assertThat(apply(load(MODEL, "gpu", 60))).isTrue();
        assertThat(apply(load(ArtifactId.model("other"), "gpu", 41))).isFalse();
        assertThat(apply(load(MODEL, "gpu-2", 10))).isTrue();
        assertThat(apply(load(MODEL, "gpu-3", 10))).isFalse();
        assertThat(state.reservedBytes("gpu")).isEqualTo(60);
        assertThat(state.replicaCount(MODEL)).isEqualTo(2);
    }

    @Test
    void a_slot_cannot_be_retired_until_every_order_is_settled() {
        apply(load(MODEL, "gpu", 60));
        long first = offset;
        apply(load(MODEL, "gpu", 60));
        long second = offset;
        apply(new CellRecord.LoadConfirmed(epoch, "gpu", MODEL));
        apply(new CellRecord.UnloadIntended(epoch, HOLDER, "gpu", MODEL));
        long third = offset;

        assertThat(state.slot("gpu", MODEL).orElseThrow().phase()).isEqualTo(SlotPhase.UNLOADING);
        assertThat(apply(load(MODEL, "gpu", 60))).isFalse();
        for (long intent : List.of(first, second, third)) {
            assertThat(apply(new CellRecord.SlotRetired(epoch, "gpu", MODEL))).isFalse();
            assertThat(apply(new CellRecord.OrderSettled(epoch, intent, Evidence.ANSWERED)))
                    .isTrue();
        }
        assertThat(apply(new CellRecord.SlotRetired(epoch, "gpu", MODEL))).isTrue();
        assertThat(state.reservedBytes("gpu")).isZero();
    }

    @Test
    void a_load_order_is_not_added_to_a_slot_of_another_vm_or_version() {
        apply(load(MODEL, "gpu", 60));

        assertThat(apply(new CellRecord.LoadIntended(epoch, HOLDER, "gpu", "vm-later", MODEL, "v1", 60, false, 100, 2)))
                .isFalse();
        assertThat(apply(new CellRecord.LoadIntended(epoch, HOLDER, "gpu", "vm-gpu", MODEL, "v2", 60, false, 100, 2)))
                .isFalse();
    }

    @Test
    void an_adapter_needs_a_slot_of_its_model_and_is_retired_before_it() {
        assertThat(apply(load(ADAPTER, "gpu", 1))).isFalse();
        apply(load(MODEL, "gpu", 60));
        long modelIntent = offset;
        assertThat(apply(load(ADAPTER, "gpu", 1))).isTrue();
        long adapterIntent = offset;
        apply(new CellRecord.OrderSettled(epoch, modelIntent, Evidence.ANSWERED));

        assertThat(apply(new CellRecord.SlotRetired(epoch, "gpu", MODEL))).isFalse();
        apply(new CellRecord.OrderSettled(epoch, adapterIntent, Evidence.ANSWERED));
        assertThat(apply(new CellRecord.SlotRetired(epoch, "gpu", ADAPTER))).isTrue();
        assertThat(apply(new CellRecord.SlotRetired(epoch, "gpu", MODEL))).isTrue();
    }

    @Test
    void stepping_down_settles_only_the_orders_that_the_same_incarnation_lists() {
        apply(load(MODEL, "gpu", 10));
        long answered = offset;
        apply(load(MODEL, "gpu", 10));
        long neverSent = offset;
        apply(load(MODEL, "gpu", 10));

        apply(new CellRecord.AuthorSteppedDown(new Author("n1", 2), epoch, List.of(answered), List.of(neverSent)));
        assertThat(state.slot("gpu", MODEL).orElseThrow().openOrders()).hasSize(3);
        apply(new CellRecord.AuthorSteppedDown(HOLDER, epoch, List.of(answered), List.of(neverSent)));
        assertThat(state.slot("gpu", MODEL).orElseThrow().openOrders()).hasSize(1);
    }

    @Test
    void the_removal_of_a_vm_frees_only_the_slots_on_it() {
        apply(load(MODEL, "gpu", 10));
        apply(load(MODEL, "gpu-2", 10));
        apply(new CellRecord.TargetRemoved(epoch, "gpu", "vm-gpu"));

        assertThat(state.slots()).extracting(CellStateView.Slot::target).containsExactly("gpu-2");
        assertThat(state.replicaCount(MODEL)).isEqualTo(1);
    }

    @Test
    void a_fingerprint_is_condemned_at_the_second_death_if_it_was_the_sole_suspect() {
        apply(new CellRecord.TargetDied(epoch, "gpu", "d1", List.of("a", "b"), false));
        apply(new CellRecord.TargetDied(epoch, "gpu", "d1", List.of("a"), true));
        assertThat(state.isCondemned("a")).isFalse();
        apply(new CellRecord.TargetDied(epoch, "gpu", "d2", List.of("a"), true));
        assertThat(state.isCondemned("a")).isTrue();
        assertThat(state.isCondemned("b")).isFalse();
        apply(new CellRecord.CondemnationLifted("a"));
        assertThat(state.isCondemned("a")).isFalse();
    }

    @Test
    void only_the_first_claim_of_a_call_is_accepted_and_its_outcome_is_set_once() {
        assertThat(apply(new CellRecord.CallClaimed("k", "a1", HOLDER, "f"))).isTrue();
        assertThat(apply(new CellRecord.CallClaimed("k", "a2", HOLDER, "f"))).isFalse();
        assertThat(apply(new CellRecord.CallReleased("k", "a2"))).isFalse();
        assertThat(apply(ended("a2"))).isFalse();
        assertThat(apply(ended("a1"))).isTrue();
        assertThat(apply(ended("a1"))).isFalse();
        assertThat(apply(new CellRecord.CallReleased("k", "a1"))).isFalse();
        assertThat(state.callClaim("k").orElseThrow().outcome()).isEqualTo(Optional.of(CallOutcome.ANSWERED));
        assertThat(apply(new CellRecord.CallsForgotten(epoch, offset))).isTrue();
        assertThat(state.callClaimCount()).isZero();
    }

    private boolean apply(CellRecord record) {
        offset += 1;
        return state.apply(offset, record).accepted();
    }

    private CellRecord load(ArtifactId artifact, String target, long sizeBytes) {
        return new CellRecord.LoadIntended(
                epoch, HOLDER, target, "vm-" + target, artifact, "v1", sizeBytes, false, 100, 2);
    }

    private static CellRecord claim(Author author, long epoch, long renewalOffset) {
        return new CellRecord.LeaseClaimed(author, "127.0.0.1:1", epoch, renewalOffset, 1_000);
    }

    private static CellRecord ended(String attempt) {
        return new CellRecord.CallEnded("k", attempt, CallOutcome.ANSWERED, 200, "text/plain", new byte[] {1}, true);
    }
}
