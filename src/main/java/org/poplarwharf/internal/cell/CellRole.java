package org.poplarwharf.internal.cell;

import com.dynatrace.hash4j.hashing.Hashing;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.AdmissionControllerFactory;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.internal.state.CellStateView.Lease;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.IdlePolicy;
import org.poplarwharf.plugins.VmList;

/**
 * Follows every cell of the configuration and holds the leases that this node acquires.
 *
 * <p>Invariant: each cell has exactly one runtime, which is kept for the lifetime of the process, because only that
 * runtime knows which orders this process sent. Confined to the control thread.
 */
final class CellRole implements Role, CellView {
    static final String NAME = "cells";

    private static final long TICK_MILLIS = 50;

    private final NodeContext context;
    private final Author self;
    private final Map<String, CellRuntime> cells = new TreeMap<>();
    private final Map<String, CellTelemetry> telemetry = new HashMap<>();
    private final Map<String, AdmissionController> admissions = new HashMap<>();
    private CellRuntime.SharedServices shared;
    private boolean stopped;

    CellRole(NodeContext context) {
        this.context = context;
        this.self = new Author(context.settings().nodeId(), context.incarnation());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Promise<Void> start() {
        NodeSettings settings = context.settings();
        EngineDialect engineDialect =
                plugin(EngineDialect.Factory.class, settings.engineDialect()).create(context.controlLoop());
        VmList vmList = plugin(VmList.Factory.class, settings.vmListProtocol())
                .create(context.controlLoop(), settings.vmListAddress());
        StoreLoadLimiter storeLimiter = new StoreLoadLimiter(
                settings.storeLoadsPerSecond(),
                settings.storeMaxConcurrentLoads(),
                context.clock().nowMillis());
        shared = new CellRuntime.SharedServices(
                self,
                settings,
                context.clock(),
                engineDialect,
                new VmListPoller(vmList),
                storeLimiter,
                this::config,
                cell -> Optional.ofNullable(admissions.get(cell)),
                this::otherCells);
        context.registerService(CellView.class, this);
        service(ConfigView.class).onChange(this::onConfig);
        tick();
        return Promise.complete();
    }

    @Override
    public Promise<Void> drain() {
        return Promises.all(cells.values().stream().map(CellRuntime::drain).toList());
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        cells.values().forEach(CellRuntime::stop);
        return Promise.complete();
    }

    private Map<String, CellStateView> otherCells(String cell) {
        Map<String, CellStateView> others = new TreeMap<>();
        cells.values().stream()
                .filter(other -> !other.name().equals(cell))
                .forEach(other -> others.put(other.name(), other.state()));
        return others;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        shared.vms().setHolder(cells.values().stream().anyMatch(CellRuntime::isGranting));
        shared.vms().tick(context.clock().nowMillis());
        for (CellRuntime cell : cells.values()) {
            cell.tick();
            telemetry.get(cell.name()).tick();
            updateAdmission(cell);
        }
        context.controlLoop().delayBackground(TICK_MILLIS, this::tick);
    }

    private void updateAdmission(CellRuntime cell) {
        if (!cell.isGranting()) {
            Optional.ofNullable(admissions.remove(cell.name())).ifPresent(AdmissionController::close);
            return;
        }
        if (admissions.containsKey(cell.name())) {
            return;
        }
        context.findService(AdmissionControllerFactory.class)
                .ifPresent(factory ->
                        admissions.put(cell.name(), factory.create(cell.name(), cell.replicas(), cell.state())));
    }

    private void onConfig(FleetConfig config) {
        CellStreams streams = new LogCellStreams(context);
        for (CellSpec cell : config.cells()) {
            if (cells.containsKey(cell.name())) {
                continue;
            }
            IdlePolicy policy = new PerModelIdlePolicy(
                    plugin(IdlePolicy.Factory.class, context.settings().idlePolicy()),
                    context.settings().keepAliveMillis(),
                    this::config);
            CellRuntime runtime = new CellRuntime(cell.name(), shared, streams.open(cell.name()), policy);
            cells.put(cell.name(), runtime);
            telemetry.put(cell.name(), new CellTelemetry(runtime, context));
        }
        cells.values().forEach(cell -> cell.replicas().notifyListeners());
    }

    private FleetConfig config() {
        return service(ConfigView.class).current();
    }

    private <T> T plugin(Class<T> extensionPoint, String pluginName) {
        return context.plugins()
                .find(extensionPoint, pluginName)
                .orElseThrow(() -> Reporter.missingPlugin(extensionPoint.getName() + " " + pluginName));
    }

    private <T> T service(Class<T> type) {
        return context.findService(type).orElseThrow(() -> Reporter.missingPlugin(type.getName()));
    }

    @Override
    public List<String> cellsFor(ArtifactId artifact, String zone) {
        List<RankedCell> ranked = new ArrayList<>();
        for (CellRuntime cell : cells.values()) {
            List<TargetSpec> capableTargets = cell.targets().stream()
                    .filter(target -> canServe(artifact, target))
                    .toList();
            if (capableTargets.isEmpty()) {
                continue;
            }
            boolean inZone =
                    capableTargets.stream().anyMatch(target -> target.zone().equals(zone));
            boolean warm = cell.state().slots().stream()
                    .anyMatch(slot -> slot.artifact().equals(artifact) && slot.phase() == SlotPhase.LOADED);
            ranked.add(new RankedCell(cell.name(), warm, inZone));
        }
        ranked.sort(Comparator.comparing((RankedCell cell) -> !cell.warm()).thenComparing(cell -> !cell.inZone()));
        return ranked.stream().map(RankedCell::name).toList();
    }

    private record RankedCell(String name, boolean warm, boolean inZone) {}

    private boolean canServe(ArtifactId artifact, TargetSpec target) {
        if (artifact.kind() == Kind.SERVICE) {
            return config().service(artifact.name())
                    .filter(service -> service.targets().contains(target.name()))
                    .isPresent();
        }
        return config().model(artifact.name())
                .filter(model -> ReplicaQuota.permits(model, target))
                .isPresent();
    }

    @Override
    public Optional<String> cellForCall(String callKey) {
        return config().cells().stream()
                .map(CellSpec::name)
                .max(Comparator.comparingLong((String cell) -> callWeight(cell, callKey))
                        .thenComparing(cell -> cell));
    }

    private static long callWeight(String cell, String callKey) {
        return Hashing.komihash5_0().hashCharsToLong(cell + '\n' + callKey);
    }

    @Override
    public Optional<Holder> holder(String cell) {
        return Optional.ofNullable(cells.get(cell))
                .flatMap(found -> found.state().lease())
                .filter(lease -> !lease.released())
                .map(this::holder);
    }

    @Override
    public Optional<CellStateView> state(String cell) {
        return Optional.ofNullable(cells.get(cell)).map(CellRuntime::state);
    }

    private Holder holder(Lease lease) {
        boolean local = lease.holder().equals(self);
        return new Holder(lease.holder(), lease.peerAddress(), lease.epoch(), local);
    }

    @Override
    public Optional<AdmissionController> localAdmission(String cell) {
        return Optional.ofNullable(admissions.get(cell));
    }

    @Override
    public Optional<RecordStream<CellRecord>> stream(String cell) {
        return Optional.ofNullable(cells.get(cell)).map(CellRuntime::stream);
    }

    @Override
    public List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact) {
        List<ReplicaPool.Replica> replicas = new ArrayList<>();
        cells.values().forEach(cell -> replicas.addAll(CellReplicas.lastKnown(cell, artifact)));
        return replicas;
    }

    @Override
    public boolean isCondemned(String fingerprint) {
        return cells.values().stream().anyMatch(cell -> cell.state().isCondemned(fingerprint));
    }
}
