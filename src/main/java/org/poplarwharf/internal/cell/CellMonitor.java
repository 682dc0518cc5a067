package org.poplarwharf.internal.cell;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeLogEvent;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.internal.kernel.NodeMetrics.LeaseState;
import org.poplarwharf.internal.kernel.NodeMetrics.LoadOutcome;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.plugins.EngineDialect;

/**
 * The metrics and log lines of one cell: the lease, orders and their ends, deaths of targets, idle accelerators.
 *
 * <p>Invariant: of all nodes that follow the cell, only the one whose claim was read last counts loads and idle time, so
 * that sums over the nodes are right. Belongs to the control thread.
 */
final class CellMonitor {
    private final CellRuntime cell;
    private final Optional<NodeMetrics> metrics;
    private final Optional<NodeLog> log;
    private final Set<SlotKey> loading = new HashSet<>();
    private Optional<LeaseState> lease = Optional.empty();
    private long countedMillis;

    CellMonitor(CellRuntime cell, NodeContext context) {
        this.cell = cell;
        this.metrics = context.findService(NodeMetrics.class);
        this.log = context.findService(NodeLog.class);
        this.countedMillis = cell.nowMillis();
        cell.stream().onApplied(this::applied);
    }

    /** Takes note of the lease and of the time since the last call; called at short intervals. */
    void tick() {
        leaseIs(cell.leaseState());
        long nowMillis = cell.nowMillis();
        if (cell.lastHolder()) {
            cell.targets().stream().filter(this::idle).forEach(target -> countIdle(target, nowMillis - countedMillis));
        }
        countedMillis = nowMillis;
    }

    private void leaseIs(LeaseState now) {
        if (lease.equals(Optional.of(now))) {
            return;
        }
        boolean held = lease.equals(Optional.of(LeaseState.HOLDING));
        lease = Optional.of(now);
        metrics.ifPresent(m -> m.setLeaseState(cell.name(), now));
        if (now == LeaseState.HOLDING) {
            tell(NodeLogEvent.LEASE_TAKEN, cell.name());
        } else if (held) {
            boolean released = cell.state().lease().filter(l -> l.released()).isPresent();
            tell(released ? NodeLogEvent.LEASE_RELEASED : NodeLogEvent.LEASE_LOST, cell.name());
        }
    }

    /** Tells whether a target's accelerators hold loaded artifacts and run nothing. */
    private boolean idle(TargetSpec target) {
        boolean loaded = cell.state().slots().stream()
                .anyMatch(slot -> slot.target().equals(target.name()) && slot.phase() == Phase.LOADED);
        int reported = cell.watch(target.name())
                .report()
                .map(EngineDialect.Report::runningRequests)
                .orElse(0);
        return loaded && reported == 0 && cell.inFlight(target.name()) == 0;
    }

    private void countIdle(TargetSpec target, long millis) {
        metrics.ifPresent(m -> m.addIdleAcceleratorTime(target.name(), target.accelerators(), millis));
    }

    private void applied(CellRecord record, Applied applied) {
        if (!applied.accepted()) {
            return;
        }
        leaseIs(cell.leaseState());
        if (!cell.lastHolder()) {
            return;
        }
        switch (record) {
            case CellRecord.LoadIntended intent -> loadOrdered(new SlotKey(intent.target(), intent.artifact()));
            case CellRecord.UnloadIntended intent ->
                tell(NodeLogEvent.UNLOAD_ORDERED, new SlotKey(intent.target(), intent.artifact()));
            case CellRecord.LoadConfirmed loaded -> loaded(new SlotKey(loaded.target(), loaded.artifact()));
            case CellRecord.SlotRetired retired -> retired(new SlotKey(retired.target(), retired.artifact()));
            case CellRecord.TargetDied died -> tell(NodeLogEvent.TARGET_DIED, died.target());
            default -> {
                // Other records are no event for operators.
            }
        }
    }

    private void loadOrdered(SlotKey key) {
        loading.add(key);
        count(LoadOutcome.ORDERED);
        tell(NodeLogEvent.LOAD_ORDERED, key);
    }

    private void loaded(SlotKey key) {
        loading.remove(key);
        count(LoadOutcome.LOADED);
        tell(NodeLogEvent.LOAD_CONFIRMED, key);
    }

    /** A slot that is retired before its load was confirmed is a load that failed. */
    private void retired(SlotKey key) {
        count(loading.remove(key) ? LoadOutcome.REJECTED : LoadOutcome.UNLOADED);
    }

    private void count(LoadOutcome outcome) {
        metrics.ifPresent(m -> m.countLoadOutcome(outcome));
    }

    private void tell(NodeLogEvent event, SlotKey key) {
        tell(event, cell.name() + "/" + key.target() + "/" + key.artifact());
    }

    private void tell(NodeLogEvent event, String subject) {
        log.ifPresent(l -> l.logEvent(event, subject));
    }
}
