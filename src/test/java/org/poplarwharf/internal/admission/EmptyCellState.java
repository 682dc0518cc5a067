package org.poplarwharf.internal.admission;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

/** The state of a cell on whose stream nothing was written. */
final class EmptyCellState implements CellStateView {
    @Override
    public Optional<Lease> lease() {
        return Optional.empty();
    }

    @Override
    public long epoch() {
        return -1;
    }

    @Override
    public Collection<Slot> slots() {
        return List.of();
    }

    @Override
    public Optional<Slot> slot(String target, ArtifactId artifact) {
        return Optional.empty();
    }

    @Override
    public long reservedBytes(String target) {
        return 0;
    }

    @Override
    public int replicas(ArtifactId artifact) {
        return 0;
    }

    @Override
    public boolean excluded(String target) {
        return false;
    }

    @Override
    public boolean condemned(String fingerprint) {
        return false;
    }

    @Override
    public Collection<Suspect> suspects() {
        return List.of();
    }

    @Override
    public Optional<CallClaim> call(String callKey) {
        return Optional.empty();
    }

    @Override
    public int callCount() {
        return 0;
    }

    @Override
    public Optional<Placement> placement(String nodeId) {
        return Optional.empty();
    }

    @Override
    public List<Placement> placements() {
        return List.of();
    }
}
