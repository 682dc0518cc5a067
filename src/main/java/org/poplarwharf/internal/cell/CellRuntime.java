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
import org.poplarwharf.internal.admission.Admission;
import org.poplarwharf.internal.cell.PlanInput.PlanTarget;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeMetrics.LeaseState;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.log.RecordStream.Applied;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.IdlePolicy;
import org.poplarwharf.plugins.VmList.Vm;

/**
 * Everything that this node does for one cell: it follows the stream, and acts while it holds the lease.
 *
 * <p>Invariant: nothing is loaded, unloaded, settled or retired without the lease. Belongs to the control thread.
 */
final class CellRuntime {
    private static final long COOL_MILLIS = 5_000;
    private static final long RECOVERY_PAUSE_MILLIS = 1_000;

    private final String name;
    private final Parts parts;
    private final RecordStream<CellRecord> stream;
    private final CellStateView state;
    private final CellStreams.Control control;
    private final LeaseKeeper lease;
    private final Loader loader;
    private final EngineWatcher engines;
    private final LoadTimeEstimate loadTimes = new LoadTimeEstimate();
    private final UseTable uses;
    private final LoadForecast forecast;
    private final ShareGrowth growth;
    private final CellReplicas replicas;
    private final Map<SlotKey, Long> coolUntilMillis = new HashMap<>();
    private final Map<SlotKey, Long> recoverAtMillis = new HashMap<>();
    private boolean draining;

    /** What all cells of a node share. */
    record Parts(
            Author self,
            NodeSettings settings,
            MonotonicClock clock,
            EngineDialect engine,
            VmWatcher vms,
            StoreBudget store,
            Supplier<FleetConfig> config,
            Function<String, Optional<Admission>> admissions,
            Function<String, Map<String, CellStateView>> otherCells) {}

    CellRuntime(String name, Parts parts, CellStreams.Opened opened, IdlePolicy idlePolicy) {
        this.name = name;
        this.parts = parts;
        this.stream = opened.stream();
        this.state = opened.state();
        this.control = opened.control();
        NodeSettings settings = parts.settings();
        this.lease = new LeaseKeeper(name, parts.self(), settings, parts.clock(), stream, state);
        this.loader =
                new Loader(parts.self(), lease, stream, state, parts.engine(), settings.vmId(), settings.leaseMillis());
        this.engines = new EngineWatcher(
                parts.engine(),
                loader.steps(),
                settings.enginePollMillis(),
                settings.progressTimeoutMillis(),
                new DeathRecorder(
                        lease, loader, stream, () -> parts.admissions().apply(name), settings.leaseMillis()));
        this.uses = new UseTable(idlePolicy, loadTimes);
        this.growth = new ShareGrowth(name, lease, stream, state, parts.config(), parts.otherCells());
        this.forecast = new LoadForecast(this, loadTimes, uses, parts.store());
        this.replicas = new CellReplicas(this, uses);
        parts.vms().onList(loader.authors()::listed);
        stream.onApplied(this::applied);
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
        return parts.config().get();
    }

    List<TargetSpec> targets() {
        return config().targetsOf(name);
    }

    TargetWatch watch(String target) {
        return engines.of(target);
    }

    long nowMillis() {
        return parts.clock().nowMillis();
    }

    /** Tells whether this node goes on granting places: until it reads a successor's claim. */
    boolean grants() {
        return lease.isLastHolder() && !draining;
    }

    /** Tells whether the last claim read is this node's. */
    boolean lastHolder() {
        return lease.isLastHolder();
    }

    LeaseState leaseState() {
        if (lease.isLastHolder()) {
            return LeaseState.HOLDING;
        }
        return lease.isClaiming() ? LeaseState.CLAIMING : LeaseState.FOLLOWING;
    }

    /** Returns the requests that this holder granted on a target and that have not ended. */
    int inFlight(String target) {
        return uses.inFlight(target);
    }

    boolean mayLoad() {
        return lease.holds() && logAnswers();
    }

    /** Tells whether the log has answered within a lease, so that a lease that has lapsed can be renewed. */
    boolean logAnswers() {
        return stream.millisSinceAnswer() < parts.settings().leaseMillis();
    }

    /** An answer from a target on which it ran apart from all others proves that a fingerprint crashes none. */
    void cleared(String fingerprint) {
        boolean recorded =
                state.suspects().stream().anyMatch(s -> s.fingerprint().equals(fingerprint));
        if (recorded) {
            stream.commit(
                    new CellRecord.CondemnationLifted(fingerprint),
                    parts.settings().leaseMillis());
        }
    }

    /** Tells whether a target gets no new work because it leaves or was taken out of service. */
    boolean withdrawn(String target) {
        boolean reportsLeaving =
                watch(target).report().map(EngineDialect.Report::leaving).orElse(false);
        return reportsLeaving || parts.vms().leaving(target) || state.excluded(target);
    }

    void doubt(String target) {
        engines.doubt(target);
    }

    /** Takes the next steps; called at short intervals. */
    void tick() {
        lease.tick(nodeIds());
        control.holding(lease.isLastHolder());
        if (lease.isLastHolder()) {
            engines.tick(targets(), nowMillis());
        }
        loader.tick(engines.watches());
        if (!lease.holds() || draining) {
            return;
        }
        retireGoneVms();
        recover();
        if (!growth.adopted()) {
            return;
        }
        for (PlanAction action : Planner.plan(planInput())) {
            carryOut(action);
        }
    }

    /** Starts nothing more, hands the lease over and stands down. */
    Promise<Void> drain() {
        draining = true;
        return lease.release().whenComplete(loader::standDown);
    }

    void stop() {
        control.stop();
    }

    private Set<String> nodeIds() {
        Set<String> names = new HashSet<>(parts.vms().liveNames());
        config().targets().forEach(target -> names.remove(target.name()));
        return names;
    }

    private void carryOut(PlanAction action) {
        switch (action) {
            case PlanAction.Unload unload -> {
                if (!loader.busy(SlotKey.of(unload.slot()))) {
                    spec(unload.slot().target()).ifPresent(target -> loader.unload(unload.slot(), target));
                }
            }
            case PlanAction.Load load -> {
                if (growth.allowed(load.share().artifact())) {
                    startLoad(load);
                }
            }
        }
    }

    private void startLoad(PlanAction.Load load) {
        SlotKey key = new SlotKey(load.target().name(), load.share().artifact());
        Optional<Vm> vm = parts.vms().vm(load.target().name());
        if (vm.isEmpty() || loader.busy(key)) {
            return;
        }
        boolean near = near(key);
        if (!near && !parts.store().tryStart(loadingFromStore(), nowMillis())) {
            return;
        }
        loadTimes.started(key, near, nowMillis());
        loader.load(load.share(), load.target(), vm.get().vmId());
    }

    private int loadingFromStore() {
        return (int) state.slots().stream()
                .filter(slot -> slot.phase() == Phase.INTENDED)
                .filter(slot -> !near(SlotKey.of(slot)))
                .count();
    }

    boolean near(SlotKey key) {
        return watch(key.target())
                .report()
                .map(report -> report.nearCopies().contains(key.artifact()))
                .orElse(false);
    }

    /** Sends further orders on slots that would else stay open; a slot is never doubled. */
    private void recover() {
        for (Slot slot : state.slots()) {
            SlotKey key = SlotKey.of(slot);
            TargetWatch watch = watch(slot.target());
            boolean due = nowMillis() >= recoverAtMillis.getOrDefault(key, Long.MIN_VALUE);
            if (!due || loader.busy(key) || !watch.requestedAfter(loader.steps().lastTouched(key))) {
                continue;
            }
            Optional<OrderKind> kind = Recovery.furtherOrder(slot, watch);
            if (kind.isEmpty()) {
                continue;
            }
            recoverAtMillis.put(key, nowMillis() + RECOVERY_PAUSE_MILLIS);
            spec(slot.target()).ifPresent(target -> order(kind.get(), slot, target));
        }
    }

    private void order(OrderKind kind, Slot slot, TargetSpec target) {
        if (kind == OrderKind.UNLOAD) {
            loader.unload(slot, target);
            return;
        }
        ReplicaShare.of(config(), slot.artifact(), name)
                .filter(share -> share.version().equals(slot.version()))
                .ifPresent(share -> loader.load(share, target, slot.targetVmId()));
    }

    private void retireGoneVms() {
        for (Vm vm : parts.vms().gone()) {
            boolean used =
                    state.slots().stream().anyMatch(slot -> slot.targetVmId().equals(vm.vmId()));
            if (used) {
                loader.targetGone(vm.name(), vm.vmId());
            }
        }
    }

    private PlanInput planInput() {
        List<PlanTarget> planTargets = new ArrayList<>();
        for (TargetSpec target : targets()) {
            TargetWatch watch = watch(target.name());
            boolean withdrawn = withdrawn(target.name());
            Set<ArtifactId> nearCopies =
                    watch.report().map(r -> Set.copyOf(r.nearCopies())).orElse(Set.of());
            planTargets.add(new PlanTarget(target, watch.answering() && !withdrawn, withdrawn, nearCopies));
        }
        coolUntilMillis.values().removeIf(until -> until <= nowMillis());
        List<Slot> slots = List.copyOf(state.slots());
        return new PlanInput(
                config(),
                name,
                planTargets,
                slots,
                uses.demand(nowMillis()),
                uses.uses(slots, foreignUse(), nowMillis()),
                Set.copyOf(coolUntilMillis.keySet()));
    }

    /** Returns the targets whose engines report more requests than this holder granted. */
    private Set<String> foreignUse() {
        Set<String> foreign = new HashSet<>();
        for (TargetSpec target : targets()) {
            int running = watch(target.name())
                    .report()
                    .map(EngineDialect.Report::runningRequests)
                    .orElse(0);
            if (running > uses.inFlight(target.name())) {
                foreign.add(target.name());
            }
        }
        return foreign;
    }

    private Optional<TargetSpec> spec(String target) {
        return config().target(target);
    }

    LoadForecast forecast() {
        return forecast;
    }

    private void applied(CellRecord record, Applied applied) {
        if (!applied.accepted()) {
            return;
        }
        switch (record) {
            case CellRecord.LoadConfirmed loaded -> loaded(new SlotKey(loaded.target(), loaded.artifact()));
            case CellRecord.SlotRetired retired -> retired(new SlotKey(retired.target(), retired.artifact()));
            case CellRecord.CondemnationLifted lifted ->
                parts.admissions().apply(name).ifPresent(admission -> admission.lifted(lifted.fingerprint()));
            default -> {
                // Other records change no load time.
            }
        }
        replicas.changed();
    }

    private void loaded(SlotKey key) {
        state.slot(key.target(), key.artifact())
                .ifPresent(slot -> loadTimes.loaded(key, slot.sizeBytes(), nowMillis()));
    }

    /** A load that ended in an absence failed there; it is tried elsewhere first. */
    private void retired(SlotKey key) {
        if (loadTimes.failed(key)) {
            coolUntilMillis.put(key, nowMillis() + COOL_MILLIS);
        }
        recoverAtMillis.remove(key);
    }
}
