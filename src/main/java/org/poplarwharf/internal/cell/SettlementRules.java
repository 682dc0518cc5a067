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
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/**
 * Decides whether an open order can have no effect any more.
 *
 * <p>Invariants: no clock takes part. A restart of the target proves nothing about an order that another author may not
 * have sent yet, because a late order would reach the new process. It settles only an order of this process whose
 * connection was closed before a report of the former process was asked for. Belongs to the control thread.
 */
final class SettlementRules {
    private final Author self;
    private final OrderBook orders;
    private final AuthorRegistry authors;
    private final Map<Long, Unanswered> unanswered = new HashMap<>();

    /** An order of this process that got no answer; {@code bootId} is the first one reported after that. */
    private record Unanswered(long step, Optional<String> bootId) {}

    SettlementRules(Author self, OrderBook orders, AuthorRegistry authors) {
        this.self = self;
        this.orders = orders;
        this.authors = authors;
    }

    /**
     * Returns the evidence that settles an order, or empty while it may still arrive.
     *
     * @param acceptedNumber the highest number that the slot's fencing engine accepted from this process, -1 for none
     * @param firstOrders offsets of intents that this process saw create their slot and that no other order followed
     * @param current whether the report was asked for after the slot's last change
     */
    Optional<Evidence> evidence(
            Slot slot,
            OpenOrder order,
            long acceptedNumber,
            Set<Long> firstOrders,
            TargetWatch watch,
            boolean current) {
        if (slot.fencing() && acceptedNumber > order.intentOffset()) {
            return Optional.of(Evidence.HIGHER_NUMBER_ACCEPTED);
        }
        if (order.author().equals(self)) {
            Optional<Evidence> own = ownEvidence(slot, order, watch);
            if (own.isPresent()) {
                return own;
            }
        } else if (authors.gone(order.author())) {
            return Optional.of(Evidence.AUTHOR_GONE);
        }
        return current && arrived(slot, order, firstOrders, watch) ? Optional.of(Evidence.ANSWERED) : Optional.empty();
    }

    private Optional<Evidence> ownEvidence(Slot slot, OpenOrder order, TargetWatch watch) {
        if (orders.busy(SlotKey.of(slot))) {
            return Optional.empty();
        }
        if (orders.deny(order.intentOffset())) {
            return Optional.of(Evidence.NEVER_SENT);
        }
        return switch (orders.of(order.intentOffset())) {
            case ANSWERED -> Optional.of(Evidence.ANSWERED);
            case STALE -> Optional.of(Evidence.HIGHER_NUMBER_ACCEPTED);
            case DENIED -> Optional.of(Evidence.NEVER_SENT);
            case SENT -> Optional.empty();
            case UNANSWERED -> restartEvidence(order.intentOffset(), watch);
        };
    }

    /** Takes note that an order got no answer and its connection is closed. */
    void unanswered(long intentOffset, long step) {
        unanswered.put(intentOffset, new Unanswered(step, Optional.empty()));
    }

    private Optional<Evidence> restartEvidence(long intentOffset, TargetWatch watch) {
        Unanswered order = unanswered.get(intentOffset);
        if (order == null || !watch.requestedAfter(order.step())) {
            return Optional.empty();
        }
        String bootId = watch.report().orElseThrow().bootId();
        if (order.bootId().isEmpty()) {
            unanswered.put(intentOffset, new Unanswered(order.step(), Optional.of(bootId)));
            return Optional.empty();
        }
        return order.bootId().get().equals(bootId) ? Optional.empty() : Optional.of(Evidence.TARGET_RESTARTED);
    }

    /** Tells whether no order for a VM's slots can still be sent or be on its way. */
    boolean nothingOnItsWay(Collection<Slot> slots, String vmId) {
        for (Slot slot : slots) {
            if (!slot.targetVmId().equals(vmId)) {
                continue;
            }
            if (orders.busy(SlotKey.of(slot))) {
                return false;
            }
            for (OpenOrder order : slot.openOrders()) {
                boolean own = order.author().equals(self);
                if (!own && !authors.gone(order.author())) {
                    return false;
                }
                if (own && orders.of(order.intentOffset()) == OrderBook.Progress.SENT) {
                    return false;
                }
            }
        }
        return true;
    }

    /** The only order that the slot ever had has arrived when the engine holds the artifact. */
    private static boolean arrived(Slot slot, OpenOrder order, Set<Long> firstOrders, TargetWatch watch) {
        if (order.kind() != OrderKind.LOAD || slot.phase() != Phase.INTENDED) {
            return false;
        }
        if (slot.openOrders().size() != 1 || !firstOrders.contains(order.intentOffset())) {
            return false;
        }
        return watch.held(slot.artifact())
                .filter(held -> held.version().equals(slot.version()))
                .filter(held -> held.state() != ArtifactState.UNLOADING)
                .isPresent();
    }
}
