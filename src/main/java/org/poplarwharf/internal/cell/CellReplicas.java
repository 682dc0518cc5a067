package org.poplarwharf.internal.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.PlanInput.Demand;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.state.CellStateView.Phase;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;

/**
 * The replicas of one cell as its admission sees them.
 *
 * <p>Invariant: serves only from slots that the fold shows as loaded, on targets that answer and are neither leaving nor
 * excluded. Belongs to the control thread.
 */
final class CellReplicas implements ReplicaPool {
    private final CellRuntime cell;
    private final UseTable uses;
    private final List<Runnable> listeners = new ArrayList<>();

    CellReplicas(CellRuntime cell, UseTable uses) {
        this.cell = cell;
        this.uses = uses;
    }

    @Override
    public List<Replica> servingReplicas(ArtifactId artifact) {
        List<Replica> replicas = new ArrayList<>();
        for (TargetSpec target : cell.targets()) {
            if (artifact.kind() == Kind.SERVICE ? serves(artifact, target) : loaded(artifact, target)) {
                replicas.add(replica(target));
            }
        }
        return replicas;
    }

    private boolean serves(ArtifactId artifact, TargetSpec target) {
        Optional<ServiceSpec> service = cell.config().service(artifact.name());
        return service.isPresent() && service.get().targets().contains(target.name()) && !cell.withdrawn(target.name());
    }

    private boolean loaded(ArtifactId artifact, TargetSpec target) {
        boolean here = cell.state()
                .slot(target.name(), artifact)
                .filter(slot -> slot.phase() == Phase.LOADED)
                .isPresent();
        boolean baseHere = artifact.kind() != Kind.ADAPTER || loaded(artifact.base(), target);
        return here
                && baseHere
                && !cell.withdrawn(target.name())
                && !cell.watch(target.name()).suspect();
    }

    private Replica replica(TargetSpec target) {
        TargetWatch watch = cell.watch(target.name());
        int load = watch.report()
                .map(r -> r.runningRequests() + r.queuedRequests())
                .orElse(0);
        long ageMillis = watch.report().isPresent() ? cell.nowMillis() - watch.receivedMillis() : 0;
        return new Replica(target.name(), target.address(), target.zone(), target.maxConcurrent(), load, ageMillis);
    }

    @Override
    public OptionalLong readyInMillis(ArtifactId artifact) {
        if (!servingReplicas(artifact).isEmpty()) {
            return OptionalLong.of(0);
        }
        if (!cell.logAnswers() || artifact.kind() == Kind.SERVICE) {
            return OptionalLong.empty();
        }
        OptionalLong own = cell.forecast().loadingMillis(artifact);
        if (own.isEmpty()
                || artifact.kind() != Kind.ADAPTER
                || !servingReplicas(artifact.base()).isEmpty()) {
            return own;
        }
        OptionalLong base = cell.forecast().loadingMillis(artifact.base());
        return base.isEmpty() ? base : OptionalLong.of(base.getAsLong() + own.getAsLong());
    }

    @Override
    public FailureCode notReadyCode(ArtifactId artifact) {
        return cell.logAnswers() ? FailureCode.NO_CAPACITY : FailureCode.LOG_UNAVAILABLE;
    }

    @Override
    public void recordSuspectCleared(String fingerprint) {
        cell.cleared(fingerprint);
    }

    @Override
    public void updateDemand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis) {
        uses.demand(artifact, new Demand(waiting, highestPriority, earliestDeadlineMillis));
    }

    @Override
    public void recordGrant(ArtifactId artifact, String target) {
        uses.acquired(artifact, target, cell.nowMillis());
    }

    @Override
    public void recordRelease(ArtifactId artifact, String target) {
        uses.released(artifact, target, cell.nowMillis());
    }

    @Override
    public void recordOutcome(String target, Outcome outcome) {
        switch (outcome) {
            case CONNECT_FAILED, CONNECTION_LOST, NO_PROGRESS, NOT_LOADED -> cell.doubt(target);
            case ANSWERED, NOT_SENT, CALLER_LEFT, TARGET_ERROR -> {
                // These say nothing about whether the target lives.
            }
        }
    }

    @Override
    public void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    void changed() {
        listeners.forEach(Runnable::run);
    }

    /** Returns what the slots of a cell whose lease is held elsewhere show as loaded on targets that stay. */
    static List<Replica> lastKnown(CellRuntime cell, ArtifactId artifact) {
        List<Replica> replicas = new ArrayList<>();
        for (TargetSpec target : cell.targets()) {
            Optional<Slot> slot = cell.state().slot(target.name(), artifact);
            boolean loaded = slot.filter(s -> s.phase() == Phase.LOADED).isPresent();
            boolean service = artifact.kind() == Kind.SERVICE
                    && cell.config()
                            .service(artifact.name())
                            .filter(s -> s.targets().contains(target.name()))
                            .isPresent();
            if ((loaded || service) && !cell.withdrawn(target.name())) {
                replicas.add(new Replica(
                        target.name(), target.address(), target.zone(), target.maxConcurrent(), 0, Long.MAX_VALUE));
            }
        }
        return replicas;
    }
}
