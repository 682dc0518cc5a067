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
 * Reports deaths of targets to admission and records the fingerprints of the requests that were in flight.
 *
 * <p>Invariant: each death is reported once. Confined to the control thread.
 */
final class TargetDeathRecorder implements EnginePoller.TargetLivenessListener {
    private final CellLeaseManager lease;
    private final OrderExecutor orderExecutor;
    private final RecordStream<CellRecord> stream;
    private final Supplier<Optional<AdmissionController>> admission;
    private final long commitMillis;
    private final Set<String> reportedDeathIds = new HashSet<>();

    TargetDeathRecorder(
            CellLeaseManager lease,
            OrderExecutor orderExecutor,
            RecordStream<CellRecord> stream,
            Supplier<Optional<AdmissionController>> admission,
            long commitMillis) {
        this.lease = lease;
        this.orderExecutor = orderExecutor;
        this.stream = stream;
        this.admission = admission;
        this.commitMillis = commitMillis;
    }

    @Override
    public void onDeath(String target, String bootId) {
        orderExecutor.onTargetRestarted(target);
        String deathId = target + "/" + bootId;
        Optional<AdmissionController> currentAdmission = admission.get();
        if (currentAdmission.isEmpty() || !reportedDeathIds.add(deathId)) {
            return;
        }
        TargetDeathReport report = currentAdmission.get().onTargetDied(target, deathId);
        recordSuspects(target, deathId, report.soleSuspect(), true);
        recordSuspects(target, deathId, report.others(), false);
    }

    @Override
    public void onRecovered(String target) {
        admission.get().ifPresent(currentAdmission -> currentAdmission.onTargetAlive(target));
    }

    private void recordSuspects(String target, String deathId, List<String> fingerprints, boolean soleSuspect) {
        if (!fingerprints.isEmpty()) {
            stream.commit(new TargetDied(lease.epoch(), target, deathId, fingerprints, soleSuspect), commitMillis);
        }
    }
}
