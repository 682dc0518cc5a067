package org.poplarwharf.internal.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.PlanInput.ArtifactDemand;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.internal.state.CellStateView.SlotPhase;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;

/**
 * Provides the replicas of one cell to its admission.
 *
 * <p>Invariant: returns only slots that the folded state shows as loaded, on targets that respond and are neither
 * leaving nor excluded. Confined to the control thread.
 */
final class CellReplicas implements ReplicaPool {
    private final CellRuntime cell;
    private final UsageTracker usage;
    private final List<Runnable> listeners = new ArrayList<>();

    CellReplicas(CellRuntime cell, UsageTracker usage) {
        this.cell = cell;
        this.usage = usage;
    }

    @Override
    public List<Replica> servingReplicas(ArtifactId artifact) {
        List<Replica> replicas = new ArrayList<>();
        for (TargetSpec target : cell.targets()) {
            if (artifact.kind() == Kind.SERVICE ? isServedBy(artifact, target) : isLoadedOn(artifact, target)) {
                replicas.add(toReplica(target));
            }
        }
        return replicas;
    }

    private boolean isServedBy(ArtifactId artifact, TargetSpec target) {
        Optional<ServiceSpec> service = cell.config().service(artifact.name());
        return service.isPresent()
                && service.get().targets().contains(target.name())
                && !cell.isWithdrawn(target.name());
    }

    private boolean isLoadedOn(ArtifactId artifact, TargetSpec target) {
        boolean artifactLoaded = cell.state()
                .slot(target.name(), artifact)
                .filter(slot -> slot.phase() == SlotPhase.LOADED)
                .isPresent();
        boolean baseLoaded = artifact.kind() != Kind.ADAPTER || isLoadedOn(artifact.base(), target);
        return artifactLoaded
                && baseLoaded
                && !cell.isWithdrawn(target.name())
                && !cell.targetStatus(target.name()).isSuspect();
    }

    private Replica toReplica(TargetSpec target) {
        TargetStatus status = cell.targetStatus(target.name());
        int reportedLoad = status.report()
                .map(r -> r.runningRequests() + r.queuedRequests())
                .orElse(0);
        long ageMillis = status.report().isPresent() ? cell.nowMillis() - status.receivedAtMillis() : 0;
        return new Replica(
                target.name(), target.address(), target.zone(), target.maxConcurrent(), reportedLoad, ageMillis);
    }

    @Override
    public OptionalLong readyInMillis(ArtifactId artifact) {
        if (!servingReplicas(artifact).isEmpty()) {
            return OptionalLong.of(0);
        }
        if (!cell.isLogResponding() || artifact.kind() == Kind.SERVICE) {
            return OptionalLong.empty();
        }
        OptionalLong ownMillis = cell.readiness().millisUntilLoaded(artifact);
        if (ownMillis.isEmpty()
                || artifact.kind() != Kind.ADAPTER
                || !servingReplicas(artifact.base()).isEmpty()) {
            return ownMillis;
        }
        OptionalLong baseMillis = cell.readiness().millisUntilLoaded(artifact.base());
        return baseMillis.isEmpty() ? baseMillis : OptionalLong.of(baseMillis.getAsLong() + ownMillis.getAsLong());
    }

    @Override
    public FailureCode notReadyCode(ArtifactId artifact) {
        return cell.isLogResponding() ? FailureCode.NO_CAPACITY : FailureCode.LOG_UNAVAILABLE;
    }

    @Override
    public void recordSuspectCleared(String fingerprint) {
        cell.liftCondemnation(fingerprint);
    }

    @Override
    public void updateDemand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis) {
        usage.demand(artifact, new ArtifactDemand(waiting, highestPriority, earliestDeadlineMillis));
    }

    @Override
    public void recordGrant(ArtifactId artifact, String target) {
        usage.recordAcquired(artifact, target, cell.nowMillis());
    }

    @Override
    public void recordRelease(ArtifactId artifact, String target) {
        usage.recordReleased(artifact, target, cell.nowMillis());
    }

    @Override
    public void recordOutcome(String target, Outcome outcome) {
        switch (outcome) {
            case CONNECT_FAILED, CONNECTION_LOST, NO_PROGRESS, NOT_LOADED -> cell.pollWithoutDelay(target);
            case ANSWERED, NOT_SENT, CALLER_LEFT, TARGET_ERROR -> {
                // These outcomes do not indicate whether the target is alive.
            }
        }
    }

    @Override
    public void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    /**
     * Returns the replicas that the recorded slots show as loaded on targets that are not being withdrawn. Used for a
     * cell whose lease another node holds.
     */
    static List<Replica> lastKnown(CellRuntime cell, ArtifactId artifact) {
        List<Replica> replicas = new ArrayList<>();
        for (TargetSpec target : cell.targets()) {
            Optional<Slot> slot = cell.state().slot(target.name(), artifact);
            boolean loaded = slot.filter(s -> s.phase() == SlotPhase.LOADED).isPresent();
            boolean service = artifact.kind() == Kind.SERVICE
                    && cell.config()
                            .service(artifact.name())
                            .filter(s -> s.targets().contains(target.name()))
                            .isPresent();
            if ((loaded || service) && !cell.isWithdrawn(target.name())) {
                replicas.add(new Replica(
                        target.name(), target.address(), target.zone(), target.maxConcurrent(), 0, Long.MAX_VALUE));
            }
        }
        return replicas;
    }
}
