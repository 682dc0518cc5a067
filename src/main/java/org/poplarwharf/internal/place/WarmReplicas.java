package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.Replicas.Replica;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.RecordStream;

/**
 * Picks among the replicas of the last placement when no holder can be reached: of two drawn at random, the one with
 * fewer requests in flight from this node.
 *
 * <p>Belongs to the control thread.
 */
final class WarmReplicas {
    private static final long LOG_DOWN_MILLIS = 3_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final CellView cells;
    private final SplittableRandom random;
    private final Map<String, Integer> inFlight = new HashMap<>();
    private long nextGrant;

    WarmReplicas(CellView cells, long seed) {
        this.cells = cells;
        this.random = new SplittableRandom(seed);
    }

    /** Returns a completed promise: a place that no holder counts, or why there is none. */
    Promise<Grant> take(PlaceRequest request) {
        AdmitRequest admission = request.admission();
        List<Replica> known = cells.lastKnownReplicas(admission.artifact()).stream()
                .filter(replica -> !admission.excludedTargets().contains(replica.target()))
                .toList();
        if (known.isEmpty()) {
            return Promise.ofException(
                    logDown(admission)
                            ? Reporter.logUnavailable("cell", RETRY_AFTER_MILLIS, null)
                            : CallerReporter.noHolder(admission.artifact()));
        }
        Optional<Replica> picked = pick(known);
        if (picked.isEmpty()) {
            return Promise.ofException(
                    CallerReporter.overloaded("Every known replica of " + admission.artifact() + " is busy."));
        }
        Replica replica = picked.get();
        inFlight.merge(replica.target(), 1, Integer::sum);
        return Promise.of(
                new Grant("warm-" + nextGrant++, replica.target(), replica.address(), request.priority(), false));
    }

    void released(String target) {
        inFlight.computeIfPresent(target, (name, count) -> count > 1 ? count - 1 : null);
    }

    private Optional<Replica> pick(List<Replica> known) {
        List<Replica> free = known.stream()
                .filter(replica -> count(replica) < replica.maxConcurrent())
                .toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        Replica first = free.get(random.nextInt(free.size()));
        Replica second = free.get(random.nextInt(free.size()));
        return Optional.of(count(first) <= count(second) ? first : second);
    }

    private int count(Replica replica) {
        return inFlight.getOrDefault(replica.target(), 0);
    }

    private boolean logDown(AdmitRequest admission) {
        return cells.cellsFor(admission.artifact(), admission.zone()).stream()
                .flatMap(cell -> cells.stream(cell).stream())
                .mapToLong(RecordStream::millisSinceLastResponse)
                .anyMatch(millis -> millis > LOG_DOWN_MILLIS);
    }
}
