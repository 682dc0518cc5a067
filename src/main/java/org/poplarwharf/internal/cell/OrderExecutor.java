package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.cell.OrderTracker.Progress;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.AuthorSteppedDown;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;
import org.poplarwharf.internal.state.CellRecord.LoadConfirmed;
import org.poplarwharf.internal.state.CellRecord.LoadIntended;
import org.poplarwharf.internal.state.CellRecord.OrderSettled;
import org.poplarwharf.internal.state.CellRecord.SlotRetired;
import org.poplarwharf.internal.state.CellRecord.TargetRemoved;
import org.poplarwharf.internal.state.CellRecord.UnloadIntended;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.Order;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.EngineDialect.OrderReply;

/**
 * Executes loads and unloads. Commits an intent, waits until it is read back, sends the order and then collects
 * evidence of the result.
 *
 * <p>Invariants: an order is sent at most once, only for an accepted intent of the current epoch, and only after the
 * lease was checked again. A slot is retired only when it has no open order and a report that was requested after its
 * last change shows the artifact as absent. Every step checks the lease first. Confined to the control thread.
 */
final class OrderExecutor {
    private static final ArtifactId TARGET_GONE_STEP = ArtifactId.service("");

    private final Author self;
    private final CellLeaseManager lease;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final EngineDialect engine;
    private final long commitMillis;
    private final OrderTracker orders = new OrderTracker();
    private final AuthorLivenessTracker authors;
    private final LogicalClock logicalClock = new LogicalClock();
    private final SettlementRules rules;
    private final Map<String, Long> highestAcceptedNumbers = new HashMap<>();
    private final Set<Long> soleOrders = new HashSet<>();
    private final Set<Long> settlementsInFlight = new HashSet<>();
    private final Map<Long, SlotKey> slotsByOrder = new HashMap<>();
    private final AuthorAnnouncer announcer;
    private boolean standDownInFlight;

    OrderExecutor(
            Author self,
            CellLeaseManager lease,
            RecordStream<CellRecord> stream,
            CellStateView state,
            EngineDialect engine,
            String vmId,
            long commitMillis) {
        this.self = self;
        this.lease = lease;
        this.stream = stream;
        this.state = state;
        this.engine = engine;
        this.commitMillis = commitMillis;
        this.authors = new AuthorLivenessTracker(state);
        this.rules = new SettlementRules(self, orders, authors);
        this.announcer = new AuthorAnnouncer(self, vmId, stream, state, authors, commitMillis);
        stream.addListener(this::onApplied);
    }

    AuthorLivenessTracker authors() {
        return authors;
    }

    LogicalClock logicalClock() {
        return logicalClock;
    }

    boolean isBusy(SlotKey slot) {
        return orders.isBusy(slot);
    }

    /** Reserves the slot, or opens a further order on an existing one, and sends one load order. */
    Promise<Void> load(ReplicaQuota quota, TargetSpec target, String vmId) {
        LoadIntended intent = new LoadIntended(
                lease.epoch(),
                self,
                target.name(),
                vmId,
                quota.artifact(),
                quota.version(),
                quota.sizeBytes(),
                target.fencing(),
                target.memoryBytes(),
                quota.limit());
        SlotKey key = new SlotKey(target.name(), quota.artifact());
        Order order = new Order(OrderKind.LOAD, quota.artifact(), quota.version(), quota.sizeBytes(), 0);
        boolean opensSlot = state.slot(target.name(), quota.artifact()).isEmpty();
        return execute(intent, lease.epoch(), key, target, order, opensSlot);
    }

    /** Opens an unload order on a slot and sends it. */
    Promise<Void> unload(Slot slot, TargetSpec target) {
        UnloadIntended intent = new UnloadIntended(lease.epoch(), self, slot.target(), slot.artifact());
        Order order = new Order(OrderKind.UNLOAD, slot.artifact(), slot.version(), slot.sizeBytes(), 0);
        return execute(intent, lease.epoch(), SlotKey.of(slot), target, order, false);
    }

    private Promise<Void> execute(
            CellRecord intent, long epoch, SlotKey key, TargetSpec target, Order order, boolean opensSlot) {
        if (!lease.isHeld() || !orders.tryReserve(key)) {
            return Promise.complete();
        }
        return stream.commit(intent, commitMillis)
                .then(applied -> applied.accepted()
                        ? dispatch(applied, epoch, key, target, order, opensSlot)
                        : Promise.complete())
                .map((result, failure) -> {
                    orders.release(key);
                    return null;
                });
    }

    private Promise<Void> dispatch(
            ApplyResult intent, long epoch, SlotKey key, TargetSpec target, Order order, boolean opensSlot) {
        long number = intent.offset();
        if (!lease.isHeld() || lease.epoch() != epoch) {
            orders.tryDeny(number);
            return Promise.complete();
        }
        if (!orders.tryBegin(number)) {
            return Promise.complete();
        }
        if (opensSlot) {
            soleOrders.add(number);
        }
        Order numbered = new Order(order.kind(), order.artifact(), order.version(), order.sizeBytes(), number);
        return engine.sendOrder(target.address(), numbered).map((reply, failure) -> {
            onReply(number, key, target, reply, failure);
            return null;
        });
    }

    private void onReply(long number, SlotKey key, TargetSpec target, OrderReply reply, Exception failure) {
        logicalClock.markChanged(key);
        if (failure != null || reply == null) {
            orders.recordOutcome(number, Progress.UNANSWERED);
            rules.recordOrderWithoutResponse(number, logicalClock.next());
            return;
        }
        switch (reply) {
            case OrderReply.Accepted accepted -> {
                orders.recordOutcome(number, Progress.ANSWERED);
                if (target.fencing()) {
                    highestAcceptedNumbers.merge(target.name(), number, Math::max);
                }
            }
            case OrderReply.Stale stale -> orders.recordOutcome(number, Progress.STALE);
            case OrderReply.Rejected rejected -> orders.recordOutcome(number, Progress.ANSWERED);
        }
    }

    /** Discards the highest number that a target accepted, because its new process may not remember it. */
    void onTargetRestarted(String target) {
        highestAcceptedNumbers.remove(target);
    }

    /** Retires all slots of a permanently removed VM, once no order can reach a successor at the same address. */
    void retireRemovedTarget(String target, String vmId) {
        if (!lease.isHeld() || !rules.noOrderCanArrive(state.slots(), vmId)) {
            return;
        }
        SlotKey key = new SlotKey(target, TARGET_GONE_STEP);
        commitForSlot(key, new TargetRemoved(lease.epoch(), target, vmId));
    }

    /** Settles, confirms and retires slots where the evidence allows it. Called at short intervals. */
    void tick(Map<String, TargetStatus> statuses) {
        announcer.tick();
        if (!lease.isHeld()) {
            standDown();
            return;
        }
        for (Slot slot : state.slots()) {
            TargetStatus status = statuses.getOrDefault(slot.target(), TargetStatus.UNKNOWN);
            settle(slot, status);
            confirmOrRetire(slot, status);
        }
    }

    private void settle(Slot slot, TargetStatus status) {
        long acceptedNumber = highestAcceptedNumbers.getOrDefault(slot.target(), -1L);
        boolean reportIsCurrent = status.wasRequestedAfter(logicalClock.lastChange(SlotKey.of(slot)));
        for (OpenOrder order : slot.openOrders()) {
            Optional<CellRecord.Evidence> evidence =
                    rules.findEvidence(slot, order, acceptedNumber, soleOrders, status, reportIsCurrent);
            if (evidence.isEmpty() || !settlementsInFlight.add(order.intentOffset())) {
                continue;
            }
            stream.commit(new OrderSettled(lease.epoch(), order.intentOffset(), evidence.get()), commitMillis)
                    .whenComplete((applied, failure) -> settlementsInFlight.remove(order.intentOffset()));
        }
    }

    private void confirmOrRetire(Slot slot, TargetStatus status) {
        SlotKey key = SlotKey.of(slot);
        if (orders.isBusy(key) || !status.wasRequestedAfter(logicalClock.lastChange(key))) {
            return;
        }
        if (slot.phase() == SlotPhase.INTENDED && status.hasLoaded(slot.artifact(), slot.version())) {
            commitForSlot(key, new LoadConfirmed(lease.epoch(), slot.target(), slot.artifact()));
            return;
        }
        if (slot.openOrders().isEmpty() && status.heldArtifact(slot.artifact()).isEmpty()) {
            commitForSlot(key, new SlotRetired(lease.epoch(), slot.target(), slot.artifact()));
        }
    }

    private void commitForSlot(SlotKey key, CellRecord record) {
        if (!orders.tryReserve(key)) {
            return;
        }
        stream.commit(record, commitMillis).whenComplete((applied, failure) -> orders.release(key));
    }

    /**
     * Records which orders got a response and which were never sent, once nothing more can be sent under the lost
     * lease.
     */
    void standDown() {
        boolean superseded = state.lease()
                .map(held -> held.released() || !held.holder().equals(self))
                .orElse(false);
        if (!superseded || standDownInFlight || orders.hasBusySlot() || orders.hasOrderInFlight()) {
            return;
        }
        denyUnsentOrders();
        List<Long> answered = ownOpenOrders(Set.of(Progress.ANSWERED, Progress.STALE));
        List<Long> neverSent = ownOpenOrders(Set.of(Progress.DENIED));
        if (answered.isEmpty() && neverSent.isEmpty()) {
            return;
        }
        standDownInFlight = true;
        stream.commit(new AuthorSteppedDown(self, state.epoch(), answered, neverSent), commitMillis)
                .whenComplete((applied, failure) -> standDownInFlight = false);
    }

    private List<Long> ownOpenOrders(Set<Progress> outcomes) {
        List<Long> offsets = new ArrayList<>();
        for (Slot slot : state.slots()) {
            for (OpenOrder order : slot.openOrders()) {
                Progress progress = orders.progressOf(order.intentOffset());
                if (order.author().equals(self) && progress != null && outcomes.contains(progress)) {
                    offsets.add(order.intentOffset());
                }
            }
        }
        return offsets;
    }

    private void denyUnsentOrders() {
        for (Slot slot : state.slots()) {
            for (OpenOrder order : slot.openOrders()) {
                if (order.author().equals(self)) {
                    orders.tryDeny(order.intentOffset());
                }
            }
        }
    }

    private void onApplied(CellRecord record, ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case LeaseClaimed claimed -> logicalClock.markAllChanged();
            case LoadIntended intent ->
                onLoadIntended(new SlotKey(intent.target(), intent.artifact()), applied.offset());
            case UnloadIntended intent -> {
                SlotKey key = new SlotKey(intent.target(), intent.artifact());
                slotsByOrder.put(applied.offset(), key);
                logicalClock.markChanged(key);
            }
            case OrderSettled settled -> onOrderSettled(settled.intentOffset());
            case AuthorSteppedDown stoodDown -> logicalClock.markAllChanged();
            default -> {
                // Other records neither open nor settle orders.
            }
        }
    }

    private void onLoadIntended(SlotKey key, long offset) {
        slotsByOrder.put(offset, key);
        logicalClock.markChanged(key);
        Optional<Slot> slot = state.slot(key.target(), key.artifact());
        for (OpenOrder order : slot.map(Slot::openOrders).orElse(List.of())) {
            soleOrders.remove(order.intentOffset());
        }
    }

    private void onOrderSettled(long offset) {
        orders.forget(offset);
        soleOrders.remove(offset);
        SlotKey key = slotsByOrder.remove(offset);
        if (key == null) {
            logicalClock.markAllChanged();
            return;
        }
        logicalClock.markChanged(key);
    }
}
