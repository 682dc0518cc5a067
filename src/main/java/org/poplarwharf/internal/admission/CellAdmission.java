package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ReplicaSelector;

/**
 * Admits requests to the replicas of one cell: refuses at once what can't be met in time, keeps the others in order, and
 * grants places.
 *
 * <p>Invariants: every request ends in exactly one grant or failure; a refusal means that no place was granted, so the
 * request was not run; a waiting request is refused as soon as its deadline can't be met. Belongs to the control thread.
 */
public final class CellAdmission implements Admission {
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long NO_REPLICA_RETRY_AFTER_MILLIS = 5_000;
    /** How long a load may look impossible before the requests that wait for it are refused. */
    private static final long NOT_READY_GRACE_MILLIS = 500;

    private final String cell;
    private final Replicas replicas;
    private final MonotonicClock clock;
    private final ClassLimits limits;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Suspicion suspicion;
    private final Waiting waiting = new Waiting();
    private final Granter granter;
    private final WaitPredictor predictor;
    private boolean closed;

    CellAdmission(
            String cell,
            Replicas replicas,
            CellStateView state,
            Supplier<FleetConfig> config,
            ReplicaSelector selector,
            MonotonicClock clock) {
        this.cell = cell;
        this.replicas = replicas;
        this.clock = clock;
        this.limits = new ClassLimits(config);
        this.suspicion = new Suspicion(state);
        this.granter = new Granter(replicas, limits, serviceTimes, suspicion, selector, grantPrefix(cell, state));
        this.predictor = new WaitPredictor(replicas, serviceTimes, limits);
        replicas.onChange(this::dispatch);
    }

    /** Returns a prefix that no other holder's grants have. */
    private static String grantPrefix(String cell, CellStateView state) {
        return cell + "-" + state.epoch() + "-";
    }

    @Override
    public Promise<Grant> admit(String nodeId, AdmitRequest request) {
        if (closed) {
            return Promise.ofException(Reporter.leaseLost(cell));
        }
        if (suspicion.condemned(request.fingerprint())) {
            return Promise.ofException(Reporter.requestCondemned(request.fingerprint()));
        }
        if (request.remainingMillis() <= 0) {
            return Promise.ofException(Reporter.deadlineExceeded(request.artifact(), MIN_RETRY_AFTER_MILLIS));
        }
        WaitingRequest candidate = waitingRequest(nodeId, request);
        Optional<PoplarWharfException> refusal = refusal(candidate);
        if (refusal.isPresent()) {
            return Promise.ofException(refusal.get());
        }
        waiting.add(candidate);
        tellDemand(request.artifact());
        dispatch();
        return candidate.promise();
    }

    private WaitingRequest waitingRequest(String nodeId, AdmitRequest request) {
        long nowMillis = clock.nowMillis();
        return new WaitingRequest(
                nodeId,
                request,
                limits.priority(request.requestClass()),
                nowMillis,
                nowMillis + request.remainingMillis(),
                replicas.serving(request.artifact()).isEmpty(),
                new SettablePromise<>());
    }

    private Optional<PoplarWharfException> refusal(WaitingRequest candidate) {
        AdmitRequest request = candidate.request();
        int ahead = waiting.countFrom(request.artifact(), candidate.priority());
        boolean hasFreePlace = ahead == 0 && granter.hasPlace(request.artifact(), candidate.priority());
        OptionalLong wait = predictor.waitMillis(request, candidate.priority(), ahead, hasFreePlace);
        if (wait.isEmpty()) {
            tellDemandOf(candidate, NO_REPLICA_RETRY_AFTER_MILLIS);
            return Optional.of(Reporter.noReplica(
                    request.artifact(), replicas.whyNotReady(request.artifact()), NO_REPLICA_RETRY_AFTER_MILLIS));
        }
        long serviceMillis =
                hasFreePlace ? predictor.serviceMillis(request) : predictor.serviceAfterWaitMillis(request);
        if (wait.getAsLong() + serviceMillis > request.remainingMillis()) {
            tellDemandOf(candidate, wait.getAsLong());
            return Optional.of(Reporter.deadlineUnreachable(request.artifact(), retryAfter(wait.getAsLong())));
        }
        if (waiting.countOfClass(request.requestClass()) >= limits.queueLimit(request.requestClass())) {
            return Optional.of(Reporter.queueFull(request.requestClass(), retryAfter(wait.getAsLong())));
        }
        return Optional.empty();
    }

    private static long retryAfter(long waitMillis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
    }

    /** Keeps the demand of a refused request up until it may come again, so that a load it needs goes on. */
    private void tellDemandOf(WaitingRequest refused, long waitMillis) {
        ArtifactId artifact = refused.request().artifact();
        long untilMillis = refused.arrivedAtMillis() + waitMillis + MIN_RETRY_AFTER_MILLIS;
        replicas.demand(artifact, 1 + waiting.count(artifact), refused.priority(), untilMillis);
    }

    private void tellDemand(ArtifactId artifact) {
        replicas.demand(
                artifact,
                waiting.count(artifact),
                waiting.highestPriority(artifact),
                waiting.earliestDeadlineMillis(artifact));
    }

    /** Grants whatever places are free. */
    private void dispatch() {
        if (closed) {
            return;
        }
        while (true) {
            Optional<Granter.Match> match = granter.next(waiting);
            if (match.isEmpty()) {
                return;
            }
            WaitingRequest chosen = match.get().waiting();
            waiting.remove(chosen.request().requestId());
            Grant grant = granter.take(match.get());
            tellDemand(chosen.request().artifact());
            chosen.promise().set(grant);
        }
    }

    /** Refuses what can't be met in time any more and frees places that nobody gave back. Call it every few milliseconds. */
    void tick() {
        long nowMillis = clock.nowMillis();
        for (WaitingRequest request : waiting.all()) {
            giveUpIfLate(request, nowMillis);
        }
        if (granter.freeExpired(nowMillis)) {
            dispatch();
        }
    }

    private void giveUpIfLate(WaitingRequest candidate, long nowMillis) {
        AdmitRequest request = candidate.request();
        if (nowMillis >= candidate.deadlineMillis()) {
            refuse(candidate, Reporter.deadlineExceeded(request.artifact(), MIN_RETRY_AFTER_MILLIS));
            return;
        }
        long remainingMillis = candidate.deadlineMillis() - nowMillis;
        if (!replicas.serving(request.artifact()).isEmpty()) {
            if (predictor.serviceAfterWaitMillis(request) > remainingMillis) {
                refuse(candidate, Reporter.deadlineUnreachable(request.artifact(), MIN_RETRY_AFTER_MILLIS));
            }
            return;
        }
        OptionalLong ready = replicas.readyInMillis(request.artifact());
        if (ready.isEmpty() && nowMillis - candidate.arrivedAtMillis() > NOT_READY_GRACE_MILLIS) {
            refuse(
                    candidate,
                    Reporter.noReplica(
                            request.artifact(),
                            replicas.whyNotReady(request.artifact()),
                            NO_REPLICA_RETRY_AFTER_MILLIS));
            return;
        }
        if (ready.isPresent() && ready.getAsLong() + predictor.serviceMillis(request) > remainingMillis) {
            refuse(candidate, Reporter.deadlineUnreachable(request.artifact(), retryAfter(ready.getAsLong())));
        }
    }

    private void refuse(WaitingRequest candidate, PoplarWharfException failure) {
        waiting.remove(candidate.request().requestId());
        tellDemand(candidate.request().artifact());
        candidate.promise().setException(failure);
    }

    @Override
    public void withdraw(String requestId) {
        Optional<WaitingRequest> removed = waiting.remove(requestId);
        if (removed.isEmpty()) {
            return;
        }
        ArtifactId artifact = removed.get().request().artifact();
        tellDemand(artifact);
        removed.get().promise().setException(Reporter.deadlineExceeded(artifact, MIN_RETRY_AFTER_MILLIS));
    }

    @Override
    public void finished(Finished finished) {
        Optional<Places.Taken> freed = granter.free(finished.grantId());
        if (freed.isEmpty()) {
            return;
        }
        Places.Taken taken = freed.get();
        if (finished.outcome() == Finished.Outcome.ANSWERED) {
            serviceTimes.record(taken.artifact(), taken.requestClass(), taken.target(), finished.serviceMillis());
            clearIfSuspected(taken);
        }
        if (finished.outcome() == Finished.Outcome.CONNECTION_LOST) {
            suspicion.connectionLost(taken);
        }
        replicas.observed(taken.target(), finished.outcome());
        dispatch();
    }

    private void clearIfSuspected(Places.Taken taken) {
        if (suspicion.answered(taken)) {
            replicas.cleared(taken.fingerprint());
        }
    }

    @Override
    public void nodeLost(String nodeId) {
        for (WaitingRequest request : waiting.all()) {
            if (request.nodeId().equals(nodeId)) {
                withdraw(request.request().requestId());
            }
        }
        granter.freeOfNode(nodeId);
        dispatch();
    }

    @Override
    public DeathReport targetDied(String target, String deathId) {
        DeathReport report = suspicion.targetDied(target, deathId, granter.freeOfTarget(target));
        for (WaitingRequest request : waiting.all()) {
            if (suspicion.condemned(request.request().fingerprint())) {
                refuse(request, Reporter.requestCondemned(request.request().fingerprint()));
            }
        }
        dispatch();
        return report;
    }

    @Override
    public void targetAlive(String target) {
        suspicion.targetAlive(target);
        dispatch();
    }

    @Override
    public void lifted(String fingerprint) {
        suspicion.lifted(fingerprint);
        dispatch();
    }

    @Override
    public void close() {
        closed = true;
        for (WaitingRequest request : waiting.all()) {
            waiting.remove(request.request().requestId());
            request.promise().setException(Reporter.leaseLost(cell));
        }
    }

    @Override
    public Counts counts() {
        return new Counts(waiting.size(), granter.inFlight());
    }

    @Override
    public List<Queue> queues() {
        return QueueReport.of(waiting.all(), granter.taken());
    }

    boolean closed() {
        return closed;
    }
}
