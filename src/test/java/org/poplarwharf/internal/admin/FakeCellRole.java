package org.poplarwharf.internal.admin;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.Author;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.OrderKind;

/** A role that registers a fixed configuration and one cell, whose stream collects the committed records. */
final class FakeCellRole implements Role, ConfigView, CellView, RecordStream<CellRecord>, CellStateView {
    static final ArtifactId ARTIFACT = ArtifactId.model("register");
    static final long EPOCH = 7;
    static final long INTENT_OFFSET = 42;

    final List<CellRecord> committed = new CopyOnWriteArrayList<>();
    volatile boolean configReady = true;
    volatile boolean acceptsRecords = true;

    private final Author author = new Author("n2", 1);

    Role register(NodeContext context) {
        context.registerService(ConfigView.class, this);
        context.registerService(CellView.class, this);
        return this;
    }

    @Override
    public String name() {
        return "cells";
    }

    @Override
    public Promise<Void> start() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> drain() {
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        return Promise.complete();
    }

    @Override
    public FleetConfig current() {
        TargetSpec target = new TargetSpec("t1", TargetKind.ENGINE, "127.0.0.1:1", "a", 100, 4, true, 1);
        return new FleetConfig(
                12,
                List.of(new CellSpec("c1", List.of("a"))),
                List.of(target),
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    @Override
    public boolean isReady() {
        return configReady;
    }

    @Override
    public void onChange(Consumer<FleetConfig> listener) {
        listener.accept(current());
    }

    @Override
    public List<String> cellsFor(ArtifactId artifact, String zone) {
        return List.of("c1");
    }

    @Override
    public Optional<String> cellForCall(String callKey) {
        return Optional.of("c1");
    }

    @Override
    public Optional<Holder> holder(String cell) {
        return Optional.of(new Holder(author, "127.0.0.1:9", EPOCH, false));
    }

    @Override
    public Optional<AdmissionController> localAdmission(String cell) {
        return Optional.empty();
    }

    @Override
    public Optional<RecordStream<CellRecord>> stream(String cell) {
        return cell.equals("c1") ? Optional.of(this) : Optional.empty();
    }

    @Override
    public Optional<CellStateView> state(String cell) {
        return cell.equals("c1") ? Optional.of(this) : Optional.empty();
    }

    @Override
    public List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact) {
        return List.of();
    }

    @Override
    public Promise<ApplyResult> commit(CellRecord record, long timeoutMillis) {
        committed.add(record);
        return Promise.of(new ApplyResult(committed.size(), acceptsRecords, acceptsRecords ? "" : "no such order"));
    }

    @Override
    public long appliedOffset() {
        return 1;
    }

    @Override
    public long millisSinceLastResponse() {
        return 5;
    }

    @Override
    public boolean isCaughtUp() {
        return true;
    }

    @Override
    public void addListener(Listener<CellRecord> listener) {
        // This stream never applies records on its own.
    }

    @Override
    public Optional<Lease> lease() {
        return Optional.empty();
    }

    @Override
    public long epoch() {
        return EPOCH;
    }

    @Override
    public Collection<Slot> slots() {
        OpenOrder order = new OpenOrder(INTENT_OFFSET, EPOCH, author, OrderKind.LOAD);
        return List.of(new Slot("t1", "vm", ARTIFACT, "v1", 50, true, SlotPhase.INTENDED, List.of(order)));
    }

    @Override
    public Optional<Slot> slot(String target, ArtifactId artifact) {
        return slots().stream().findFirst();
    }

    @Override
    public long reservedBytes(String target) {
        return 50;
    }

    @Override
    public int replicaCount(ArtifactId artifact) {
        return 1;
    }

    @Override
    public boolean isExcluded(String target) {
        return false;
    }

    @Override
    public boolean isCondemned(String fingerprint) {
        return true;
    }

    @Override
    public Collection<SuspectFingerprint> suspects() {
        return new ArrayList<>(List.of(new SuspectFingerprint("f1", 2, 1, true, 40)));
    }

    @Override
    public Optional<CallClaim> callClaim(String callKey) {
        return Optional.empty();
    }

    @Override
    public int callClaimCount() {
        return 3;
    }

    @Override
    public Optional<AuthorLocation> authorLocation(String nodeId) {
        return Optional.empty();
    }

    @Override
    public List<AuthorLocation> authorLocations() {
        return List.of();
    }
}
