package org.poplarwharf.internal.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.cell.PlanInput.PlanTarget;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeMetrics.LeaseState;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.IdlePolicy;
import org.poplarwharf.plugins.VmList.Vm;

/**
 * Runs one cell on this node: follows its stream, and manages its replicas while this node holds the lease.
 *
 * <p>Invariant: without the lease nothing is loaded, unloaded, settled or retired. Confined to the control thread.
 */
final class CellRuntime {
    private static final long FAILED_LOAD_COOLDOWN_MILLIS = 5_000;
    private static final long RECOVERY_INTERVAL_MILLIS = 1_000;

    private final String name;
    private final SharedServices shared;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final CellStreams.StreamControl control;
    private final CellLeaseManager leaseManager;
    private final OrderExecutor orderExecutor;
    private final EnginePoller enginePoller;
    private final LoadTimeEstimator loadTimes = new LoadTimeEstimator();
    private final UsageTracker usage;
    private final ReadinessEstimator readinessEstimator;
    private final ReplicaGrowthGuard growthGuard;
    private final CellReplicas replicas;
    private final Map<SlotKey, Long> cooldownUntilMillis = new HashMap<>();
    private final Map<SlotKey, Long> nextRecoveryMillis = new HashMap<>();
    private final CellStoreLoads storeLoads;
    private boolean draining;

    /** Services that all cells of a node share. */
    record SharedServices(
            Author self,
            NodeSettings settings,
            MonotonicClock clock,
            EngineDialect engineDialect,
            VmListPoller vms,
            StoreLoadLimiter storeLimiter,
            Supplier<FleetConfig> config,
            Function<String, Optional<AdmissionController>> admissions,
            Function<String, Map<String, CellStateView>> otherCells) {}

    CellRuntime(String name, SharedServices shared, CellStreams.OpenedStream openedStream, IdlePolicy idlePolicy) {
        this.name = name;
        this.shared = shared;
        this.stream = openedStream.stream();
        this.state = openedStream.state();
        this.control = openedStream.control();
        NodeSettings settings = shared.settings();
        this.leaseManager = new CellLeaseManager(name, shared.self(), settings, shared.clock(), stream, state);
        this.orderExecutor = new OrderExecutor(
                shared.self(),
                leaseManager,
                stream,
                state,
                shared.engineDialect(),
                settings.vmId(),
                settings.leaseMillis());
        this.storeLoads = new CellStoreLoads(name, shared.storeLimiter(), state, orderExecutor, this::hasNearCopy);
        this.enginePoller = new EnginePoller(
                shared.engineDialect(),
                orderExecutor.logicalClock(),
                settings.enginePollMillis(),
                settings.progressTimeoutMillis(),
                new TargetDeathRecorder(
                        leaseManager,
                        orderExecutor,
                        stream,
                        () -> shared.admissions().apply(name),
                        settings.leaseMillis()));
        this.usage = new UsageTracker(idlePolicy, loadTimes);
        this.growthGuard =
                new ReplicaGrowthGuard(name, leaseManager, stream, state, shared.config(), shared.otherCells());
        this.readinessEstimator = new ReadinessEstimator(this, loadTimes, usage, shared.storeLimiter());
        this.replicas = new CellReplicas(this, usage);
        shared.vms().onList(orderExecutor.authors()::onVmList);
        stream.addListener(this::onApplied);
        control.start();
    }

    String name() {
        return name;
    }

    RecordStream<CellRecord> stream() {
        return stream;
    }

    CellStateView state() {
        return state;
    }

    CellReplicas replicas() {
        return replicas;
    }

    FleetConfig config() {
        return shared.config().get();
    }

    List<TargetSpec> targets() {
        return config().targetsOf(name);
    }

    TargetStatus targetStatus(String target) {
        return enginePoller.statusOf(target);
    }

    long nowMillis() {
        return shared.clock().nowMillis();
    }

    /**
     * Returns whether this node grants requests. It continues, even after its lease has expired, until it reads a
     * claim by a successor.
     */
    boolean isGranting() {
        return leaseManager.isLastHolder() && !draining;
    }

    /** Returns whether the last lease claim that was read is from this node, even if the lease has expired. */
    boolean isLastHolder() {
        return leaseManager.isLastHolder();
    }

    LeaseState leaseState() {
        if (leaseManager.isLastHolder()) {
            return LeaseState.HOLDING;
        }
        return leaseManager.isClaiming() ? LeaseState.CLAIMING : LeaseState.FOLLOWING;
    }

    /** Returns the number of requests in flight on a target that this holder granted. */
    int inFlightCount(String target) {
        return usage.inFlightCount(target);
    }

    /** Returns whether this node holds a valid lease and the log responds. */
    boolean mayLoad() {
        return leaseManager.isHeld() && isLogResponding();
    }

    /**
     * Returns whether the log has responded within the last lease duration, so that an expired lease can be renewed.
     */
    boolean isLogResponding() {
        return stream.millisSinceLastResponse() < shared.settings().leaseMillis();
    }

    /**
     * Lifts the condemnation of a fingerprint. A response from a target that ran the request apart from all other
     * suspects proves that the fingerprint crashes no target.
     */
    void liftCondemnation(String fingerprint) {
        boolean recorded =
                state.suspects().stream().anyMatch(s -> s.fingerprint().equals(fingerprint));
        if (recorded) {
            stream.commit(
                    new CellRecord.CondemnationLifted(fingerprint),
                    shared.settings().leaseMillis());
        }
    }

    /** Returns whether a target gets no new work because it is leaving or was taken out of service. */
    boolean isWithdrawn(String target) {
        boolean reportsLeaving =
                targetStatus(target).report().map(EngineDialect.Report::leaving).orElse(false);
        return reportsLeaving || shared.vms().isLeaving(target) || state.isExcluded(target);
    }

    /** Polls a target without waiting for the poll interval, after a request to it has failed. */
    void pollWithoutDelay(String target) {
        enginePoller.pollWithoutDelay(target);
    }

    /** Renews the lease, polls targets and carries out the plan. Called at short intervals. */
    void tick() {
        leaseManager.tick(nodeIds());
        control.setHolder(leaseManager.isLastHolder());
        if (leaseManager.isLastHolder()) {
            enginePoller.tick(targets(), nowMillis());
        }
        orderExecutor.tick(enginePoller.statuses());
        if (!leaseManager.isHeld() || draining) {
            storeLoads.clear();
            return;
        }
        storeLoads.update();
        retireGoneVms();
        recover();
        if (!growthGuard.adoptConfig()) {
            return;
        }
        for (PlanAction action : Planner.plan(planInput())) {
            carryOut(action);
        }
    }

    /** Starts no more work, releases the lease and records which orders got a reply or were never sent. */
    Promise<Void> drain() {
        draining = true;
        return leaseManager.release().whenComplete(orderExecutor::standDown);
    }

    void stop() {
        storeLoads.clear();
        control.stop();
    }

    private Set<String> nodeIds() {
        Set<String> names = new HashSet<>(shared.vms().liveNames());
        config().targets().forEach(target -> names.remove(target.name()));
        return names;
    }

    private void carryOut(PlanAction action) {
        switch (action) {
            case PlanAction.Unload unload -> {
                if (!orderExecutor.isBusy(SlotKey.of(unload.slot()))) {
                    targetSpec(unload.slot().target()).ifPresent(target -> orderExecutor.unload(unload.slot(), target));
                }
            }
            case PlanAction.Load load -> {
                if (growthGuard.mayGrow(load.quota().artifact())) {
                    startLoad(load);
                }
            }
        }
    }

    private void startLoad(PlanAction.Load load) {
        SlotKey key = new SlotKey(load.target().name(), load.quota().artifact());
        Optional<Vm> vm = shared.vms().find(load.target().name());
        if (vm.isEmpty() || orderExecutor.isBusy(key)) {
            return;
        }
        boolean nearCopy = hasNearCopy(key);
        if (!nearCopy && !storeLoads.tryStart(key, nowMillis())) {
            return;
        }
        loadTimes.recordStart(key, nearCopy, nowMillis());
        orderExecutor.load(load.quota(), load.target(), vm.get().vmId());
    }

    /** Returns whether the target reports a local copy of the weights, which loads without the weight store. */
    boolean hasNearCopy(SlotKey key) {
        return targetStatus(key.target())
                .report()
                .map(report -> report.nearCopies().contains(key.artifact()))
                .orElse(false);
    }

    /** Sends further orders for slots that would otherwise stay open. Never creates a second slot. */
    private void recover() {
        for (Slot slot : state.slots()) {
            SlotKey key = SlotKey.of(slot);
            TargetStatus status = targetStatus(slot.target());
            boolean due = nowMillis() >= nextRecoveryMillis.getOrDefault(key, Long.MIN_VALUE);
            if (!due
                    || orderExecutor.isBusy(key)
                    || !status.wasRequestedAfter(orderExecutor.logicalClock().lastChange(key))) {
                continue;
            }
            Optional<OrderKind> nextOrder = SlotRecovery.nextOrder(slot, status);
            if (nextOrder.isEmpty()) {
                continue;
            }
            nextRecoveryMillis.put(key, nowMillis() + RECOVERY_INTERVAL_MILLIS);
            targetSpec(slot.target()).ifPresent(target -> sendOrder(nextOrder.get(), slot, target));
        }
    }

    private void sendOrder(OrderKind kind, Slot slot, TargetSpec target) {
        if (kind == OrderKind.UNLOAD) {
            orderExecutor.unload(slot, target);
            return;
        }
        ReplicaQuota.of(config(), slot.artifact(), name)
                .filter(quota -> quota.version().equals(slot.version()))
                .ifPresent(quota -> orderExecutor.load(quota, target, slot.targetVmId()));
    }

    private void retireGoneVms() {
        for (Vm vm : shared.vms().permanentlyRemovedVms()) {
            boolean used =
                    state.slots().stream().anyMatch(slot -> slot.targetVmId().equals(vm.vmId()));
            if (used) {
                orderExecutor.retireRemovedTarget(vm.name(), vm.vmId());
            }
        }
    }

    private PlanInput planInput() {
        List<PlanTarget> planTargets = new ArrayList<>();
        for (TargetSpec target : targets()) {
            TargetStatus status = targetStatus(target.name());
            boolean withdrawn = isWithdrawn(target.name());
            Set<ArtifactId> nearCopies =
                    status.report().map(r -> Set.copyOf(r.nearCopies())).orElse(Set.of());
            planTargets.add(new PlanTarget(target, status.isResponding() && !withdrawn, withdrawn, nearCopies));
        }
        cooldownUntilMillis.values().removeIf(until -> until <= nowMillis());
        List<Slot> slots = List.copyOf(state.slots());
        return new PlanInput(
                config(),
                name,
                planTargets,
                slots,
                usage.demand(nowMillis()),
                usage.usageOf(slots, targetsWithForeignRequests(), nowMillis()),
                Set.copyOf(cooldownUntilMillis.keySet()));
    }

    /** Returns the targets whose engines report more running requests than this holder granted. */
    private Set<String> targetsWithForeignRequests() {
        Set<String> foreignTargets = new HashSet<>();
        for (TargetSpec target : targets()) {
            int running = targetStatus(target.name())
                    .report()
                    .map(EngineDialect.Report::runningRequests)
                    .orElse(0);
            if (running > usage.inFlightCount(target.name())) {
                foreignTargets.add(target.name());
            }
        }
        return foreignTargets;
    }

    private Optional<TargetSpec> targetSpec(String target) {
        return config().target(target);
    }

    ReadinessEstimator readiness() {
        return readinessEstimator;
    }

    private void onApplied(CellRecord record, ApplyResult applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case CellRecord.LoadConfirmed loaded -> onLoadConfirmed(new SlotKey(loaded.target(), loaded.artifact()));
            case CellRecord.SlotRetired retired -> onSlotRetired(new SlotKey(retired.target(), retired.artifact()));
            case CellRecord.CondemnationLifted lifted ->
                shared.admissions().apply(name).ifPresent(admission -> admission.clearSuspect(lifted.fingerprint()));
            default -> {
                // Other records affect neither load times nor admission.
            }
        }
        replicas.notifyListeners();
    }

    private void onLoadConfirmed(SlotKey key) {
        state.slot(key.target(), key.artifact())
                .ifPresent(slot -> loadTimes.recordSuccess(key, slot.sizeBytes(), nowMillis()));
    }

    /** Starts the cooldown of a slot whose load failed, so that the load is tried on other targets first. */
    private void onSlotRetired(SlotKey key) {
        if (loadTimes.recordFailure(key)) {
            cooldownUntilMillis.put(key, nowMillis() + FAILED_LOAD_COOLDOWN_MILLIS);
        }
        nextRecoveryMillis.remove(key);
    }
}
