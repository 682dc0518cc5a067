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
 * Admission control for the replicas of one cell. Refuses a request immediately if its deadline can't be met, queues
 * the others, and grants permits as they become free.
 *
 * <p>Invariants: every request ends in exactly one grant or failure; a refusal means that no permit was granted, so
 * the request was not run; a waiting request is refused as soon as its deadline can't be met. Confined to the
 * control thread.
 */
public final class CellAdmissionController implements AdmissionController {
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long NO_REPLICA_RETRY_AFTER_MILLIS = 5_000;
    /** How long no load may be possible before the requests waiting for the artifact are refused. */
    private static final long NOT_READY_GRACE_MILLIS = 500;

    private final String cell;
    private final ReplicaPool replicas;
    private final MonotonicClock clock;
    private final AdmissionLimits limits;
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final CrashSuspects suspects;
    private final RequestQueues queues = new RequestQueues();
    private final GrantScheduler scheduler;
    private final WaitPredictor predictor;
    private boolean closed;

    CellAdmissionController(
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
        this.suspects = new CrashSuspects(state);
        this.scheduler =
                new GrantScheduler(replicas, limits, serviceTimes, suspects, selector, grantPrefix(cell, state));
        this.predictor = new WaitPredictor(replicas, serviceTimes, limits);
        replicas.addChangeListener(this::grantFreePermits);
    }

    /** Returns a grant id prefix that is unique to this lease holder. */
    private static String grantPrefix(String cell, CellStateView state) {
        return cell + "-" + state.epoch() + "-";
    }

    @Override
    public Promise<Grant> admit(String nodeId, AdmissionRequest request) {
        if (closed) {
            return Promise.ofException(Reporter.leaseLost(cell));
        }
        if (suspects.isCondemned(request.fingerprint())) {
            return Promise.ofException(Reporter.requestCondemned(request.fingerprint()));
        }
        if (request.remainingMillis() <= 0) {
            return Promise.ofException(Reporter.deadlineExceeded(request.artifact(), MIN_RETRY_AFTER_MILLIS));
        }
        WaitingRequest candidate = createWaitingRequest(nodeId, request);
        Optional<PoplarWharfException> refusal = findRefusal(candidate);
        if (refusal.isPresent()) {
            return Promise.ofException(refusal.get());
        }
        queues.add(candidate);
        reportDemand(request.artifact());
        grantFreePermits();
        return candidate.promise();
    }

    private WaitingRequest createWaitingRequest(String nodeId, AdmissionRequest request) {
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

    private Optional<PoplarWharfException> findRefusal(WaitingRequest candidate) {
        AdmissionRequest request = candidate.request();
        int aheadCount = queues.countAtOrAbove(request.artifact(), candidate.priority());
        boolean hasFreePermit = aheadCount == 0 && scheduler.hasFreePermit(request.artifact(), candidate.priority());
        OptionalLong waitMillis = predictor.waitMillis(request, candidate.priority(), aheadCount, hasFreePermit);
        if (waitMillis.isEmpty()) {
            reportRefusedDemand(candidate, NO_REPLICA_RETRY_AFTER_MILLIS);
            return Optional.of(Reporter.noReplica(
                    request.artifact(), replicas.notReadyCode(request.artifact()), NO_REPLICA_RETRY_AFTER_MILLIS));
        }
        long serviceMillis = hasFreePermit ? predictor.serviceMillis(request) : predictor.upperServiceMillis(request);
        if (waitMillis.getAsLong() + serviceMillis > request.remainingMillis()) {
            reportRefusedDemand(candidate, waitMillis.getAsLong());
            return Optional.of(
                    Reporter.deadlineUnreachable(request.artifact(), retryAfterMillis(waitMillis.getAsLong())));
        }
        if (queues.countOfClass(request.requestClass()) >= limits.queueLimit(request.requestClass())) {
            return Optional.of(Reporter.queueFull(request.requestClass(), retryAfterMillis(waitMillis.getAsLong())));
        }
        return Optional.empty();
    }

    private static long retryAfterMillis(long waitMillis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
    }

    /**
     * Keeps reporting the demand of a refused request until its earliest retry, so that its load is not cancelled.
     */
    private void reportRefusedDemand(WaitingRequest refused, long waitMillis) {
        ArtifactId artifact = refused.request().artifact();
        long untilMillis = refused.arrivedAtMillis() + waitMillis + MIN_RETRY_AFTER_MILLIS;
        replicas.updateDemand(artifact, 1 + queues.count(artifact), refused.priority(), untilMillis);
    }

    private void reportDemand(ArtifactId artifact) {
        replicas.updateDemand(
                artifact,
                queues.count(artifact),
                queues.highestPriority(artifact),
                queues.earliestDeadlineMillis(artifact));
    }

    /** Grants free permits to waiting requests until no request can be matched. */
    private void grantFreePermits() {
        if (closed) {
            return;
        }
        while (true) {
            Optional<GrantScheduler.Match> match = scheduler.nextMatch(queues);
            if (match.isEmpty()) {
                return;
            }
            WaitingRequest granted = match.get().request();
            queues.remove(granted.request().requestId());
            Grant grant = scheduler.issue(match.get());
            reportDemand(granted.request().artifact());
            granted.promise().set(grant);
        }
    }

    /**
     * Refuses waiting requests whose deadline can no longer be met and releases expired grants. Must be called every
     * few milliseconds.
     */
    void tick() {
        long nowMillis = clock.nowMillis();
        for (WaitingRequest request : queues.requests()) {
            refuseIfLate(request, nowMillis);
        }
        if (scheduler.releaseExpired(nowMillis)) {
            grantFreePermits();
        }
    }

    private void refuseIfLate(WaitingRequest candidate, long nowMillis) {
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
        OptionalLong readyInMillis = replicas.readyInMillis(request.artifact());
        if (readyInMillis.isEmpty() && nowMillis - candidate.arrivedAtMillis() > NOT_READY_GRACE_MILLIS) {
            refuse(
                    candidate,
                    Reporter.noReplica(
                            request.artifact(),
                            replicas.notReadyCode(request.artifact()),
                            NO_REPLICA_RETRY_AFTER_MILLIS));
            return;
        }
        if (readyInMillis.isPresent()
                && readyInMillis.getAsLong() + predictor.serviceMillis(request) > remainingMillis) {
            refuse(
                    candidate,
                    Reporter.deadlineUnreachable(request.artifact(), retryAfterMillis(readyInMillis.getAsLong())));
        }
    }

    private void refuse(WaitingRequest candidate, PoplarWharfException failure) {
        queues.remove(candidate.request().requestId());
        reportDemand(candidate.request().artifact());
        candidate.promise().setException(failure);
    }

    @Override
    public void cancel(String requestId) {
        Optional<WaitingRequest> removed = queues.remove(requestId);
        if (removed.isEmpty()) {
            return;
        }
        ArtifactId artifact = removed.get().request().artifact();
        reportDemand(artifact);
        removed.get().promise().setException(Reporter.deadlineExceeded(artifact, MIN_RETRY_AFTER_MILLIS));
    }

    @Override
    public void release(GrantCompletion completion) {
        Optional<GrantTable.ActiveGrant> released = scheduler.release(completion.grantId());
        if (released.isEmpty()) {
            return;
        }
        GrantTable.ActiveGrant grant = released.get();
        if (completion.outcome() == GrantCompletion.Outcome.ANSWERED) {
            serviceTimes.record(grant.artifact(), grant.requestClass(), grant.target(), completion.serviceMillis());
            clearIfSuspect(grant);
        }
        if (completion.outcome() == GrantCompletion.Outcome.CONNECTION_LOST) {
            suspects.recordConnectionLoss(grant);
        }
        replicas.recordOutcome(grant.target(), completion.outcome());
        grantFreePermits();
    }

    private void clearIfSuspect(GrantTable.ActiveGrant grant) {
        if (suspects.recordResponse(grant)) {
            replicas.recordSuspectCleared(grant.fingerprint());
        }
    }

    @Override
    public void onNodeLost(String nodeId) {
        for (WaitingRequest request : queues.requests()) {
            if (request.nodeId().equals(nodeId)) {
                cancel(request.request().requestId());
            }
        }
        scheduler.releaseNode(nodeId);
        grantFreePermits();
    }

    @Override
    public TargetDeathReport onTargetDied(String target, String deathId) {
        TargetDeathReport report = suspects.recordTargetDeath(target, deathId, scheduler.releaseTarget(target));
        for (WaitingRequest request : queues.requests()) {
            if (suspects.isCondemned(request.request().fingerprint())) {
                refuse(request, Reporter.requestCondemned(request.request().fingerprint()));
            }
        }
        grantFreePermits();
        return report;
    }

    @Override
    public void onTargetAlive(String target) {
        suspects.recordTargetAlive(target);
        grantFreePermits();
    }

    @Override
    public void clearSuspect(String fingerprint) {
        suspects.clear(fingerprint);
        grantFreePermits();
    }

    @Override
    public void close() {
        closed = true;
        for (WaitingRequest request : queues.requests()) {
            queues.remove(request.request().requestId());
            request.promise().setException(Reporter.leaseLost(cell));
        }
    }

    @Override
    public Counts counts() {
        return new Counts(queues.size(), scheduler.inFlightCount());
    }

    @Override
    public List<QueueStatus> queues() {
        return QueueReport.of(queues.requests(), scheduler.activeGrants());
    }

    boolean isClosed() {
        return closed;
    }
}
