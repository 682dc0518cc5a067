package org.poplarwharf.internal.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.Evidence;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * Decides whether an open order can no longer take effect.
 *
 * <p>Invariants: no decision depends on a clock. A restart of the target proves nothing about an order that another
 * author may not have sent yet, because a late order would reach the new process. A restart settles only an order of
 * this process whose connection was closed before a report of the former process was requested. Confined to the
 * control thread.
 */
final class SettlementRules {
    private final Author self;
    private final OrderTracker orders;
    private final AuthorLivenessTracker authors;
    private final Map<Long, OrderWithoutResponse> ordersWithoutResponse = new HashMap<>();

    /** An order of this process that got no reply; {@code bootId} is the first one reported after that. */
    private record OrderWithoutResponse(long step, Optional<String> bootId) {}

    SettlementRules(Author self, OrderTracker orders, AuthorLivenessTracker authors) {
        this.self = self;
        this.orders = orders;
        this.authors = authors;
    }

    /**
     * Returns the evidence that settles an order, or empty while the order may still arrive.
     *
     * @param acceptedNumber the highest number that the fencing engine of the slot accepted from this process, -1 for
     * none
     * @param soleOrders offsets of intents that this process saw create their slot and that no other order followed
     * @param reportIsCurrent whether the report was requested after the last change of the slot
     */
    Optional<Evidence> findEvidence(
            Slot slot,
            OpenOrder order,
            long acceptedNumber,
            Set<Long> soleOrders,
            TargetStatus status,
            boolean reportIsCurrent) {
        if (slot.fencing() && acceptedNumber > order.intentOffset()) {
            return Optional.of(Evidence.HIGHER_NUMBER_ACCEPTED);
        }
        if (order.author().equals(self)) {
            Optional<Evidence> own = ownEvidence(slot, order, status);
            if (own.isPresent()) {
                return own;
            }
        } else if (authors.isGone(order.author())) {
            return Optional.of(Evidence.AUTHOR_GONE);
        }
        return reportIsCurrent && hasArrived(slot, order, soleOrders, status)
                ? Optional.of(Evidence.ANSWERED)
                : Optional.empty();
    }

    private Optional<Evidence> ownEvidence(Slot slot, OpenOrder order, TargetStatus status) {
        if (orders.isBusy(SlotKey.of(slot))) {
            return Optional.empty();
        }
        if (orders.tryDeny(order.intentOffset())) {
            return Optional.of(Evidence.NEVER_SENT);
        }
        return switch (orders.progressOf(order.intentOffset())) {
            case ANSWERED -> Optional.of(Evidence.ANSWERED);
            case STALE -> Optional.of(Evidence.HIGHER_NUMBER_ACCEPTED);
            case DENIED -> Optional.of(Evidence.NEVER_SENT);
            case SENT -> Optional.empty();
            case UNANSWERED -> restartEvidence(order.intentOffset(), status);
        };
    }

    /** Records that an order got no reply and that its connection is closed. */
    void recordOrderWithoutResponse(long intentOffset, long step) {
        ordersWithoutResponse.put(intentOffset, new OrderWithoutResponse(step, Optional.empty()));
    }

    private Optional<Evidence> restartEvidence(long intentOffset, TargetStatus status) {
        OrderWithoutResponse order = ordersWithoutResponse.get(intentOffset);
        if (order == null || !status.wasRequestedAfter(order.step())) {
            return Optional.empty();
        }
        String bootId = status.report().orElseThrow().bootId();
        if (order.bootId().isEmpty()) {
            ordersWithoutResponse.put(intentOffset, new OrderWithoutResponse(order.step(), Optional.of(bootId)));
            return Optional.empty();
        }
        return order.bootId().get().equals(bootId) ? Optional.empty() : Optional.of(Evidence.TARGET_RESTARTED);
    }

    /** Returns whether every order for the slots of a VM has already arrived or can no longer be sent. */
    boolean noOrderCanArrive(Collection<Slot> slots, String vmId) {
        for (Slot slot : slots) {
            if (!slot.targetVmId().equals(vmId)) {
                continue;
            }
            if (orders.isBusy(SlotKey.of(slot))) {
                return false;
            }
            for (OpenOrder order : slot.openOrders()) {
                boolean own = order.author().equals(self);
                if (!own && !authors.isGone(order.author())) {
                    return false;
                }
                if (own && orders.progressOf(order.intentOffset()) == OrderTracker.Progress.SENT) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Returns whether the only order that the slot ever had has arrived, which holds if the engine reports the
     * artifact.
     */
    private static boolean hasArrived(Slot slot, OpenOrder order, Set<Long> soleOrders, TargetStatus status) {
        if (order.kind() != OrderKind.LOAD || slot.phase() != SlotPhase.INTENDED) {
            return false;
        }
        if (slot.openOrders().size() != 1 || !soleOrders.contains(order.intentOffset())) {
            return false;
        }
        return status.heldArtifact(slot.artifact())
                .filter(held -> held.version().equals(slot.version()))
                .filter(held -> held.state() != ArtifactState.UNLOADING)
                .isPresent();
    }
}
