package org.poplarwharf.internal.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.TargetDeathReport;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.TargetDied;

/**
 * Tells admission of the deaths of targets and records the fingerprints that were in flight.
 *
 * <p>Invariant: each death is told once. Belongs to the control thread.
 */
final class DeathRecorder implements EngineWatcher.DeathHandler {
    private final LeaseKeeper lease;
    private final Loader loader;
    private final RecordStream<CellRecord> stream;
    private final Supplier<Optional<AdmissionController>> admission;
    private final long commitMillis;
    private final Set<String> deathIds = new HashSet<>();

    DeathRecorder(
            LeaseKeeper lease,
            Loader loader,
            RecordStream<CellRecord> stream,
            Supplier<Optional<AdmissionController>> admission,
            long commitMillis) {
        this.lease = lease;
        this.loader = loader;
        this.stream = stream;
        this.admission = admission;
        this.commitMillis = commitMillis;
    }

    @Override
    public void died(String target, String bootId) {
        loader.restarted(target);
        String deathId = target + "/" + bootId;
        Optional<AdmissionController> found = admission.get();
        if (found.isEmpty() || !deathIds.add(deathId)) {
            return;
        }
        TargetDeathReport report = found.get().onTargetDied(target, deathId);
        record(target, deathId, report.soleSuspect(), true);
        record(target, deathId, report.others(), false);
    }

    @Override
    public void alive(String target) {
        admission.get().ifPresent(found -> found.onTargetAlive(target));
    }

    private void record(String target, String deathId, List<String> fingerprints, boolean sole) {
        if (!fingerprints.isEmpty()) {
            stream.commit(new TargetDied(lease.epoch(), target, deathId, fingerprints, sole), commitMillis);
        }
    }
}
