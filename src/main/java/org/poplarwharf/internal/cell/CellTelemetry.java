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
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.EngineDialect;

/**
 * Reports the metrics and log events of one cell: its lease, its orders and their outcomes, deaths of targets and
 * idle accelerators.
 *
 * <p>Invariant: of all nodes that follow the cell, only the one whose lease claim was read last counts loads and idle
 * time, so that sums over the nodes count nothing twice. Confined to the control thread.
 */
final class CellTelemetry {
    private final CellRuntime cell;
    private final Optional<NodeMetrics> metrics;
    private final Optional<NodeLog> log;
    private final Set<SlotKey> unconfirmedLoads = new HashSet<>();
    private Optional<LeaseState> leaseState = Optional.empty();
    private long idleCountedUntilMillis;

    CellTelemetry(CellRuntime cell, NodeContext context) {
        this.cell = cell;
        this.metrics = context.findService(NodeMetrics.class);
        this.log = context.findService(NodeLog.class);
        this.idleCountedUntilMillis = cell.nowMillis();
        cell.stream().addListener(this::onApplied);
    }

    /**
     * Updates the lease state and adds the time since the last call to the idle time of each idle target. Called at
     * short intervals.
     */
    void tick() {
        updateLeaseState(cell.leaseState());
        long nowMillis = cell.nowMillis();
        if (cell.isLastHolder()) {
            cell.targets().stream()
                    .filter(this::isIdle)
                    .forEach(target -> countIdle(target, nowMillis - idleCountedUntilMillis));
        }
        idleCountedUntilMillis = nowMillis;
    }

    private void updateLeaseState(LeaseState now) {
        if (leaseState.equals(Optional.of(now))) {
            return;
        }
        boolean wasHolding = leaseState.equals(Optional.of(LeaseState.HOLDING));
        leaseState = Optional.of(now);
        metrics.ifPresent(m -> m.setLeaseState(cell.name(), now));
        if (now == LeaseState.HOLDING) {
            log(NodeLogEvent.LEASE_TAKEN, cell.name());
        } else if (wasHolding) {
            boolean released = cell.state().lease().filter(l -> l.released()).isPresent();
            log(released ? NodeLogEvent.LEASE_RELEASED : NodeLogEvent.LEASE_LOST, cell.name());
        }
    }

    /** Returns whether a target has loaded artifacts and runs no request. */
    private boolean isIdle(TargetSpec target) {
        boolean loaded = cell.state().slots().stream()
                .anyMatch(slot -> slot.target().equals(target.name()) && slot.phase() == SlotPhase.LOADED);
        int reportedRequestCount = cell.targetStatus(target.name())
                .report()
                .map(EngineDialect.Report::runningRequests)
                .orElse(0);
        return loaded && reportedRequestCount == 0 && cell.inFlightCount(target.name()) == 0;
    }

    private void countIdle(TargetSpec target, long millis) {
        metrics.ifPresent(m -> m.addIdleAcceleratorTime(target.name(), target.accelerators(), millis));
    }

    private void onApplied(CellRecord record, ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        updateLeaseState(cell.leaseState());
        if (!cell.isLastHolder()) {
            return;
        }
        switch (record) {
            case CellRecord.LoadIntended intent -> onLoadOrdered(new SlotKey(intent.target(), intent.artifact()));
            case CellRecord.UnloadIntended intent ->
                log(NodeLogEvent.UNLOAD_ORDERED, new SlotKey(intent.target(), intent.artifact()));
            case CellRecord.LoadConfirmed loaded -> onLoadConfirmed(new SlotKey(loaded.target(), loaded.artifact()));
            case CellRecord.SlotRetired retired -> onSlotRetired(new SlotKey(retired.target(), retired.artifact()));
            case CellRecord.TargetDied died -> log(NodeLogEvent.TARGET_DIED, died.target());
            default -> {
                // Other records are not reported to operators.
            }
        }
    }

    private void onLoadOrdered(SlotKey key) {
        unconfirmedLoads.add(key);
        count(LoadOutcome.ORDERED);
        log(NodeLogEvent.LOAD_ORDERED, key);
    }

    private void onLoadConfirmed(SlotKey key) {
        unconfirmedLoads.remove(key);
        count(LoadOutcome.LOADED);
        log(NodeLogEvent.LOAD_CONFIRMED, key);
    }

    /** Counts a retired slot. If its load was never confirmed, the load has failed. */
    private void onSlotRetired(SlotKey key) {
        count(unconfirmedLoads.remove(key) ? LoadOutcome.REJECTED : LoadOutcome.UNLOADED);
    }

    private void count(LoadOutcome outcome) {
        metrics.ifPresent(m -> m.countLoadOutcome(outcome));
    }

    private void log(NodeLogEvent event, SlotKey key) {
        log(event, cell.name() + "/" + key.target() + "/" + key.artifact());
    }

    private void log(NodeLogEvent event, String subject) {
        log.ifPresent(l -> l.logEvent(event, subject));
    }
}
