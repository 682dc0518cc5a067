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
    private final ReplicaPool replicas;
    private final MonotonicClock clock;
    private final AdmissionLimits limits;
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final CrashSuspects suspicion;
    private final RequestQueues waiting = new RequestQueues();
    private final GrantScheduler granter;
    private final WaitPredictor predictor;
    private boolean isClosed;

    CellAdmission(
            String cell,
            ReplicaPool replicas,
            CellStateView state,
            Supplier<FleetConfig> config,
            ReplicaSelector selector,
            MonotonicClock clock) {
        this.cell = cell;
        this.replicas = replicas;
        this.clock = clock;
        this.limits = new AdmissionLimits(config);
        this.suspicion = new CrashSuspects(state);
        this.granter =
                new GrantScheduler(replicas, limits, serviceTimes, suspicion, selector, grantPrefix(cell, state));
        this.predictor = new WaitPredictor(replicas, serviceTimes, limits);
        replicas.addChangeListener(this::dispatch);
    }

    /** Returns a prefix that no other holder's grants have. */
    private static String grantPrefix(String cell, CellStateView state) {
        return cell + "-" + state.epoch() + "-";
    }

    @Override
    public Promise<Grant> admit(String nodeId, AdmissionRequest request) {
        if (isClosed) {
            return Promise.ofException(Reporter.holderChanged(cell));
        }
        if (suspicion.isCondemned(request.fingerprint())) {
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

    private WaitingRequest waitingRequest(String nodeId, AdmissionRequest request) {
        long nowMillis = clock.nowMillis();
        return new WaitingRequest(
                nodeId,
                request,
                limits.priority(request.requestClass()),
                nowMillis,
                nowMillis + request.remainingMillis(),
                replicas.servingReplicas(request.artifact()).isEmpty(),
                new SettablePromise<>());
    }

    private Optional<PoplarWharfException> refusal(WaitingRequest candidate) {
        AdmissionRequest request = candidate.request();
        int ahead = waiting.countAtOrAbove(request.artifact(), candidate.priority());
        boolean hasFreePlace = ahead == 0 && granter.hasFreePermit(request.artifact(), candidate.priority());
        OptionalLong wait = predictor.waitMillis(request, candidate.priority(), ahead, hasFreePlace);
        if (wait.isEmpty()) {
            tellDemandOf(candidate, NO_REPLICA_RETRY_AFTER_MILLIS);
            return Optional.of(Reporter.noReplica(
                    request.artifact(), replicas.notReadyCode(request.artifact()), NO_REPLICA_RETRY_AFTER_MILLIS));
        }
        long serviceMillis = hasFreePlace ? predictor.serviceMillis(request) : predictor.upperServiceMillis(request);
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
        replicas.updateDemand(artifact, 1 + waiting.count(artifact), refused.priority(), untilMillis);
    }

    private void tellDemand(ArtifactId artifact) {
        replicas.updateDemand(
                artifact,
                waiting.count(artifact),
                waiting.highestPriority(artifact),
                waiting.earliestDeadlineMillis(artifact));
    }

    /** Grants whatever places are free. */
    private void dispatch() {
        if (isClosed) {
            return;
        }
        while (true) {
            Optional<GrantScheduler.Match> match = granter.nextMatch(waiting);
            if (match.isEmpty()) {
                return;
            }
            WaitingRequest chosen = match.get().request();
            waiting.remove(chosen.request().requestId());
            Grant grant = granter.issue(match.get());
            tellDemand(chosen.request().artifact());
            chosen.promise().set(grant);
        }
    }

    /** Refuses what can't be met in time any more and frees places that nobody gave back. Call it every few milliseconds. */
    void tick() {
        long nowMillis = clock.nowMillis();
        for (WaitingRequest request : waiting.requests()) {
            giveUpIfLate(request, nowMillis);
        }
        if (granter.releaseExpired(nowMillis)) {
            dispatch();
        }
    }

    private void giveUpIfLate(WaitingRequest candidate, long nowMillis) {
        AdmissionRequest request = candidate.request();
        if (nowMillis >= candidate.deadlineMillis()) {
            refuse(candidate, Reporter.deadlineExceeded(request.artifact(), MIN_RETRY_AFTER_MILLIS));
            return;
        }
        long remainingMillis = candidate.deadlineMillis() - nowMillis;
        if (!replicas.servingReplicas(request.artifact()).isEmpty()) {
            if (predictor.upperServiceMillis(request) > remainingMillis) {
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
                            replicas.notReadyCode(request.artifact()),
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
    public void cancel(String requestId) {
        Optional<WaitingRequest> removed = waiting.remove(requestId);
        if (removed.isEmpty()) {
            return;
        }
        ArtifactId artifact = removed.get().request().artifact();
        tellDemand(artifact);
        removed.get().promise().setException(Reporter.deadlineExceeded(artifact, MIN_RETRY_AFTER_MILLIS));
    }

    @Override
    public void release(GrantCompletion finished) {
        Optional<GrantTable.ActiveGrant> freed = granter.release(finished.grantId());
        if (freed.isEmpty()) {
            return;
        }
        GrantTable.ActiveGrant taken = freed.get();
        if (finished.outcome() == GrantCompletion.Outcome.ANSWERED) {
            serviceTimes.record(taken.artifact(), taken.requestClass(), taken.target(), finished.serviceMillis());
            clearIfSuspected(taken);
        }
        if (finished.outcome() == GrantCompletion.Outcome.CONNECTION_LOST) {
            suspicion.recordConnectionLoss(taken);
        }
        replicas.recordOutcome(taken.target(), finished.outcome());
        dispatch();
    }

    private void clearIfSuspected(GrantTable.ActiveGrant taken) {
        if (suspicion.recordAnswer(taken)) {
            replicas.recordSuspectCleared(taken.fingerprint());
        }
    }

    @Override
    public void onNodeLost(String nodeId) {
        for (WaitingRequest request : waiting.requests()) {
            if (request.nodeId().equals(nodeId)) {
                cancel(request.request().requestId());
            }
        }
        granter.releaseNode(nodeId);
        dispatch();
    }

    @Override
    public TargetDeathReport onTargetDied(String target, String deathId) {
        TargetDeathReport report = suspicion.recordTargetDeath(target, deathId, granter.releaseTarget(target));
        for (WaitingRequest request : waiting.requests()) {
            if (suspicion.isCondemned(request.request().fingerprint())) {
                refuse(request, Reporter.requestCondemned(request.request().fingerprint()));
            }
        }
        dispatch();
        return report;
    }

    @Override
    public void onTargetAlive(String target) {
        suspicion.recordTargetAlive(target);
        dispatch();
    }

    @Override
    public void clearSuspect(String fingerprint) {
        suspicion.clear(fingerprint);
        dispatch();
    }

    @Override
    public void close() {
        isClosed = true;
        for (WaitingRequest request : waiting.requests()) {
            waiting.remove(request.request().requestId());
            request.promise().setException(Reporter.holderChanged(cell));
        }
    }

    @Override
    public Counts counts() {
        return new Counts(waiting.size(), granter.inFlightCount());
    }

    @Override
    public List<QueueStatus> queues() {
        return QueueReport.of(waiting.requests(), granter.activeGrants());
    }

    boolean isClosed() {
        return isClosed;
    }
}
