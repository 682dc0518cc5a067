package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.cell.OrderBook.Progress;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellRecord.LeaseClaimed;
import org.poplarwharf.internal.state.CellRecord.LoadConfirmed;
import org.poplarwharf.internal.state.CellRecord.LoadIntended;
import org.poplarwharf.internal.state.CellRecord.OrderSettled;
import org.poplarwharf.internal.state.CellRecord.SlotRetired;
import org.poplarwharf.internal.state.CellRecord.StoodDown;
import org.poplarwharf.internal.state.CellRecord.TargetGone;
import org.poplarwharf.internal.state.CellRecord.UnloadIntended;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.OpenOrder;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.Order;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.EngineDialect.OrderReply;

/**
 * Carries loads and unloads out: intent, read back, order, evidence.
 *
 * <p>Invariants: an order is sent at most once, only for an accepted intent of the current epoch, and only after the
 * lease was checked again; a slot is retired only when no order on it is open and a report that was asked for after its
 * last change lists the artifact as absent. Every step checks the lease first. Belongs to the control thread.
 */
final class Loader {
    private static final ArtifactId GONE_STEP = ArtifactId.service("");

    private final Author self;
    private final LeaseKeeper lease;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final EngineDialect engine;
    private final long commitMillis;
    private final OrderBook orders = new OrderBook();
    private final AuthorRegistry authors;
    private final StepCounter steps = new StepCounter();
    private final SettlementRules rules;
    private final Map<String, Long> acceptedNumbers = new HashMap<>();
    private final Set<Long> firstOrders = new HashSet<>();
    private final Set<Long> settling = new HashSet<>();
    private final Map<Long, SlotKey> orderSlots = new HashMap<>();
    private final AuthorAnnouncement announcement;
    private boolean standingDown;

    Loader(
            Author self,
            LeaseKeeper lease,
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
        this.authors = new AuthorRegistry(state);
        this.rules = new SettlementRules(self, orders, authors);
        this.announcement = new AuthorAnnouncement(self, vmId, stream, state, authors, commitMillis);
        stream.addListener(this::applied);
    }

    AuthorRegistry authors() {
        return authors;
    }

    StepCounter steps() {
        return steps;
    }

    boolean busy(SlotKey slot) {
        return orders.busy(slot);
    }

    /** Reserves the slot, or opens a further order on it, and sends one load order. */
    Promise<Void> load(ReplicaShare share, TargetSpec target, String vmId) {
        LoadIntended intent = new LoadIntended(
                lease.epoch(),
                self,
                target.name(),
                vmId,
                share.artifact(),
                share.version(),
                share.sizeBytes(),
                target.fencing(),
                target.memoryBytes(),
                share.limit());
        SlotKey key = new SlotKey(target.name(), share.artifact());
        Order order = new Order(OrderKind.LOAD, share.artifact(), share.version(), share.sizeBytes(), 0);
        boolean opensSlot = state.slot(target.name(), share.artifact()).isEmpty();
        return carryOut(intent, lease.epoch(), key, target, order, opensSlot);
    }

    /** Opens an unload order on a slot and sends it. */
    Promise<Void> unload(Slot slot, TargetSpec target) {
        UnloadIntended intent = new UnloadIntended(lease.epoch(), self, slot.target(), slot.artifact());
        Order order = new Order(OrderKind.UNLOAD, slot.artifact(), slot.version(), slot.sizeBytes(), 0);
        return carryOut(intent, lease.epoch(), SlotKey.of(slot), target, order, false);
    }

    private Promise<Void> carryOut(
            CellRecord intent, long epoch, SlotKey key, TargetSpec target, Order order, boolean opensSlot) {
        if (!lease.holds() || !orders.enter(key)) {
            return Promise.complete();
        }
        return stream.commit(intent, commitMillis)
                .then(applied -> applied.accepted()
                        ? dispatch(applied, epoch, key, target, order, opensSlot)
                        : Promise.complete())
                .map((result, failure) -> {
                    orders.leave(key);
                    return null;
                });
    }

    private Promise<Void> dispatch(
            ApplyResult intent, long epoch, SlotKey key, TargetSpec target, Order order, boolean opensSlot) {
        long number = intent.offset();
        if (!lease.holds() || lease.epoch() != epoch) {
            orders.deny(number);
            return Promise.complete();
        }
        if (!orders.begin(number)) {
            return Promise.complete();
        }
        if (opensSlot) {
            firstOrders.add(number);
        }
        Order numbered = new Order(order.kind(), order.artifact(), order.version(), order.sizeBytes(), number);
        return engine.send(target.address(), numbered).map((reply, failure) -> {
            concluded(number, key, target, reply, failure);
            return null;
        });
    }

    private void concluded(long number, SlotKey key, TargetSpec target, OrderReply reply, Exception failure) {
        steps.touch(key);
        if (failure != null || reply == null) {
            orders.conclude(number, Progress.UNANSWERED);
            rules.unanswered(number, steps.next());
            return;
        }
        switch (reply) {
            case OrderReply.Accepted accepted -> {
                orders.conclude(number, Progress.ANSWERED);
                if (target.fencing()) {
                    acceptedNumbers.merge(target.name(), number, Math::max);
                }
            }
            case OrderReply.Stale stale -> orders.conclude(number, Progress.STALE);
            case OrderReply.Rejected rejected -> orders.conclude(number, Progress.ANSWERED);
        }
    }

    /** Forgets what a target's former process accepted, since the new one may not remember its numbers. */
    void restarted(String target) {
        acceptedNumbers.remove(target);
    }

    /** Retires every slot of a VM that is gone, once no order can reach a successor under its address. */
    void targetGone(String target, String vmId) {
        if (!lease.holds() || !rules.nothingOnItsWay(state.slots(), vmId)) {
            return;
        }
        SlotKey key = new SlotKey(target, GONE_STEP);
        record(key, new TargetGone(lease.epoch(), target, vmId));
    }

    /** Settles, confirms and retires what the evidence allows; called at short intervals. */
    void tick(Map<String, TargetWatch> watches) {
        announcement.tick();
        if (!lease.holds()) {
            standDown();
            return;
        }
        for (Slot slot : state.slots()) {
            TargetWatch watch = watches.getOrDefault(slot.target(), TargetWatch.UNKNOWN);
            settle(slot, watch);
            follow(slot, watch);
        }
    }

    private void settle(Slot slot, TargetWatch watch) {
        long acceptedNumber = acceptedNumbers.getOrDefault(slot.target(), -1L);
        boolean current = watch.requestedAfter(steps.lastTouched(SlotKey.of(slot)));
        for (OpenOrder order : slot.openOrders()) {
            Optional<CellRecord.Evidence> evidence =
                    rules.evidence(slot, order, acceptedNumber, firstOrders, watch, current);
            if (evidence.isEmpty() || !settling.add(order.intentOffset())) {
                continue;
            }
            stream.commit(new OrderSettled(lease.epoch(), order.intentOffset(), evidence.get()), commitMillis)
                    .whenComplete((applied, failure) -> settling.remove(order.intentOffset()));
        }
    }

    private void follow(Slot slot, TargetWatch watch) {
        SlotKey key = SlotKey.of(slot);
        if (orders.busy(key) || !watch.requestedAfter(steps.lastTouched(key))) {
            return;
        }
        if (slot.phase() == Phase.INTENDED && watch.lists(slot.artifact(), slot.version())) {
            record(key, new LoadConfirmed(lease.epoch(), slot.target(), slot.artifact()));
            return;
        }
        if (slot.openOrders().isEmpty() && watch.held(slot.artifact()).isEmpty()) {
            record(key, new SlotRetired(lease.epoch(), slot.target(), slot.artifact()));
        }
    }

    private void record(SlotKey key, CellRecord record) {
        if (!orders.enter(key)) {
            return;
        }
        stream.commit(record, commitMillis).whenComplete((applied, failure) -> orders.leave(key));
    }

    /** Says which orders were answered or never sent, once nothing more can be sent under the lost lease. */
    void standDown() {
        boolean superseded = state.lease()
                .map(held -> held.released() || !held.holder().equals(self))
                .orElse(false);
        if (!superseded || standingDown || orders.anyBusy() || orders.anySent()) {
            return;
        }
        denyRest();
        List<Long> answered = openOwn(Set.of(Progress.ANSWERED, Progress.STALE));
        List<Long> neverSent = openOwn(Set.of(Progress.DENIED));
        if (answered.isEmpty() && neverSent.isEmpty()) {
            return;
        }
        standingDown = true;
        stream.commit(new StoodDown(self, state.epoch(), answered, neverSent), commitMillis)
                .whenComplete((applied, failure) -> standingDown = false);
    }

    private List<Long> openOwn(Set<Progress> outcomes) {
        List<Long> offsets = new ArrayList<>();
        for (Slot slot : state.slots()) {
            for (OpenOrder order : slot.openOrders()) {
                Progress progress = orders.of(order.intentOffset());
                if (order.author().equals(self) && progress != null && outcomes.contains(progress)) {
                    offsets.add(order.intentOffset());
                }
            }
        }
        return offsets;
    }

    private void denyRest() {
        for (Slot slot : state.slots()) {
            for (OpenOrder order : slot.openOrders()) {
                if (order.author().equals(self)) {
                    orders.deny(order.intentOffset());
                }
            }
        }
    }

    private void applied(CellRecord record, ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case LeaseClaimed claimed -> steps.touchAll();
            case LoadIntended intent -> intended(new SlotKey(intent.target(), intent.artifact()), applied.offset());
            case UnloadIntended intent -> {
                SlotKey key = new SlotKey(intent.target(), intent.artifact());
                orderSlots.put(applied.offset(), key);
                steps.touch(key);
            }
            case OrderSettled settled -> settled(settled.intentOffset());
            case StoodDown stood -> steps.touchAll();
            default -> {
                // Other records open or settle no order.
            }
        }
    }

    private void intended(SlotKey key, long offset) {
        orderSlots.put(offset, key);
        steps.touch(key);
        Optional<Slot> slot = state.slot(key.target(), key.artifact());
        for (OpenOrder order : slot.map(Slot::openOrders).orElse(List.of())) {
            firstOrders.remove(order.intentOffset());
        }
    }

    private void settled(long offset) {
        orders.forget(offset);
        firstOrders.remove(offset);
        SlotKey key = orderSlots.remove(offset);
        if (key == null) {
            steps.touchAll();
            return;
        }
        steps.touch(key);
    }
}
