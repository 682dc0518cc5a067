package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion;
import org.poplarwharf.internal.admission.ReplicaPool.Replica;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.RecordStream;

/**
 * Selects among the replicas of the last known placement when no lease holder is reachable. Draws two replicas at
 * random and takes the one with fewer requests in flight from this node.
 *
 * <p>Without a holder, nobody watches the targets for crashes. Instead, a request is refused if its connections to two
 * targets were lost.
 *
 * <p>Confined to the control thread.
 */
final class WarmReplicaFallback {
    private static final long LOG_SILENCE_LIMIT_MILLIS = 3_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final CellView cells;
    private final SplittableRandom random;
    private final MonotonicClock clock;
    private final CrashHistory lostConnections = new CrashHistory();
    private final Map<String, String> fingerprintByGrantId = new HashMap<>();
    private final Map<String, Integer> inFlightByTarget = new HashMap<>();
    private long nextGrantNumber;

    WarmReplicaFallback(CellView cells, MonotonicClock clock, long seed) {
        this.clock = clock;
        this.cells = cells;
        this.random = new SplittableRandom(seed);
    }

    /** Returns a completed promise: a grant that no lease holder accounts for, or a failure with the reason. */
    Promise<Grant> acquire(PermitRequest request) {
        AdmissionRequest admissionRequest = request.admissionRequest();
        OptionalLong refusalMillis = lostConnections.refusalMillis(admissionRequest.fingerprint(), clock.nowMillis());
        if (refusalMillis.isPresent()) {
            return Promise.ofException(
                    CallerReporter.crashSuspected(admissionRequest.fingerprint(), refusalMillis.getAsLong()));
        }
        List<Replica> knownReplicas = cells.lastKnownReplicas(admissionRequest.artifact()).stream()
                .filter(replica -> !admissionRequest.excludedTargets().contains(replica.target()))
                .toList();
        if (knownReplicas.isEmpty()) {
            return Promise.ofException(
                    isLogUnavailable(admissionRequest)
                            ? Reporter.logUnavailable("cell", RETRY_AFTER_MILLIS, null)
                            : CallerReporter.noHolder(admissionRequest.artifact()));
        }
        Optional<Replica> selected = selectReplica(knownReplicas);
        if (selected.isEmpty()) {
            return Promise.ofException(
                    CallerReporter.overloaded("Every known replica of " + admissionRequest.artifact() + " is busy."));
        }
        Replica replica = selected.get();
        inFlightByTarget.merge(replica.target(), 1, Integer::sum);
        String grantId = "warm-" + nextGrantNumber++;
        fingerprintByGrantId.put(grantId, admissionRequest.fingerprint());
        return Promise.of(new Grant(grantId, replica.target(), replica.address(), request.priority(), false));
    }

    void release(Grant grant, GrantCompletion.Outcome outcome) {
        inFlightByTarget.computeIfPresent(grant.target(), (name, count) -> count > 1 ? count - 1 : null);
        String fingerprint = fingerprintByGrantId.remove(grant.grantId());
        if (fingerprint != null && outcome == GrantCompletion.Outcome.CONNECTION_LOST) {
            lostConnections.addAll(List.of(new TargetCrash(fingerprint, grant.target(), 0, "", 0)), clock.nowMillis());
        }
    }

    private Optional<Replica> selectReplica(List<Replica> knownReplicas) {
        List<Replica> availableReplicas = knownReplicas.stream()
                .filter(replica -> inFlightCount(replica) < replica.maxConcurrent())
                .toList();
        if (availableReplicas.isEmpty()) {
            return Optional.empty();
        }
        Replica first = availableReplicas.get(random.nextInt(availableReplicas.size()));
        Replica second = availableReplicas.get(random.nextInt(availableReplicas.size()));
        return Optional.of(inFlightCount(first) <= inFlightCount(second) ? first : second);
    }

    private int inFlightCount(Replica replica) {
        return inFlightByTarget.getOrDefault(replica.target(), 0);
    }

    private boolean isLogUnavailable(AdmissionRequest admissionRequest) {
        return cells.cellsFor(admissionRequest.artifact(), admissionRequest.zone()).stream()
                .flatMap(cell -> cells.stream(cell).stream())
                .mapToLong(RecordStream::millisSinceLastResponse)
                .anyMatch(millis -> millis > LOG_SILENCE_LIMIT_MILLIS);
    }
}
