package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ReplicaSelector;
import org.poplarwharf.plugins.ReplicaSelector.Candidate;

/**
 * Matches waiting requests with free permits and tracks the active grants.
 *
 * <p>Invariants: a target never has more grants than its concurrency limit; a suspect never shares a target with
 * another suspect; a fingerprint without a response so far is in flight on at most one target. Confined to the
 * control thread.
 */
final class GrantScheduler {
    /** How long after the request's deadline a grant that was not released expires. */
    private static final long GRANT_EXPIRY_SLACK_MILLIS = 30_000;

    private final ReplicaPool replicas;
    private final AdmissionLimits limits;
    private final ServiceTimeEstimator serviceTimes;
    private final CrashSuspects suspects;
    private final GrantRanking ranking = new GrantRanking();
    private final ReplicaSelector selector;
    private final GrantTable activeGrants = new GrantTable();
    private final String grantIdPrefix;
    private long nextGrantNumber;

    GrantScheduler(
            ReplicaPool replicas,
            AdmissionLimits limits,
            ServiceTimeEstimator serviceTimes,
            CrashSuspects suspects,
            ReplicaSelector selector,
            String grantIdPrefix) {
        this.replicas = replicas;
        this.limits = limits;
        this.serviceTimes = serviceTimes;
        this.suspects = suspects;
        this.selector = selector;
        this.grantIdPrefix = grantIdPrefix;
    }

    /**
     * A waiting request and a replica with a free permit for it.
     *
     * @param overtakes whether a request of a lower priority is passed over
     */
    record Match(WaitingRequest request, Candidate candidate, String address, boolean overtakes) {}

    /** Returns the next request to grant, or empty if none can be granted now. */
    Optional<Match> nextMatch(RequestQueues requestQueues) {
        List<Match> matches = new ArrayList<>();
        requestQueues
                .queues()
                .forEach((artifact, queue) -> findMatch(artifact, queue).ifPresent(matches::add));
        return ranking.best(matches).map(best -> withOvertaking(best, matches));
    }

    private static Match withOvertaking(Match best, List<Match> matches) {
        boolean overtakesOther = matches.stream()
                .anyMatch(match -> match.request().priority() < best.request().priority());
        return new Match(best.request(), best.candidate(), best.address(), best.overtakes() || overtakesOther);
    }

    private Optional<Match> findMatch(ArtifactId artifact, ArtifactQueue queue) {
        List<ReplicaPool.Replica> servingReplicas = replicas.servingReplicas(artifact);
        if (servingReplicas.isEmpty() || !hasFreePermit(servingReplicas, queue.highestPriority())) {
            return Optional.empty();
        }
        Optional<WaitingRequest> chosen = ranking.isLowestPriorityDue() && queue.hasSeveralPriorities()
                ? queue.findOldestOfLowestPriority(
                        request -> selectReplica(request, servingReplicas).isPresent())
                : queue.findFirst(
                        ranking.fairShare(),
                        request -> selectReplica(request, servingReplicas).isPresent());
        return chosen.flatMap(
                request -> matchWith(request, servingReplicas, queue.lowestPriority() < request.priority()));
    }

    private Optional<Match> matchWith(
            WaitingRequest request, List<ReplicaPool.Replica> servingReplicas, boolean overtakes) {
        Optional<Candidate> candidate = selectReplica(request, servingReplicas);
        if (candidate.isEmpty()) {
            return Optional.empty();
        }
        return servingReplicas.stream()
                .filter(replica -> replica.target().equals(candidate.get().target()))
                .map(replica -> new Match(request, candidate.get(), replica.address(), overtakes))
                .findFirst();
    }

    boolean hasFreePermit(ArtifactId artifact, int priority) {
        return hasFreePermit(replicas.servingReplicas(artifact), priority);
    }

    private boolean hasFreePermit(List<ReplicaPool.Replica> servingReplicas, int priority) {
        for (ReplicaPool.Replica replica : servingReplicas) {
            if (!suspects.isTargetInDoubt(replica.target()) && freePermitCount(replica, priority) > 0) {
                return true;
            }
        }
        return false;
    }

    private int freePermitCount(ReplicaPool.Replica replica, int priority) {
        return limits.maxInFlight(priority, replica.maxConcurrent()) - activeGrants.inFlightCount(replica.target());
    }

    private Optional<Candidate> selectReplica(
            WaitingRequest waitingRequest, List<ReplicaPool.Replica> servingReplicas) {
        AdmissionRequest request = waitingRequest.request();
        List<Candidate> candidates = new ArrayList<>();
        for (ReplicaPool.Replica replica : servingReplicas) {
            if (mayRunOn(request, replica) && freePermitCount(replica, waitingRequest.priority()) > 0) {
                candidates.add(toCandidate(replica, waitingRequest.priority()));
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ReplicaSelector.Query query =
                new ReplicaSelector.Query(request.artifact(), request.zone(), request.prefixHash());
        return selector.select(query, candidates);
    }

    private boolean mayRunOn(AdmissionRequest request, ReplicaPool.Replica replica) {
        if (request.excludedTargets().contains(replica.target()) || suspects.isTargetInDoubt(replica.target())) {
            return false;
        }
        if (suspects.mustWait(request.fingerprint())) {
            return false;
        }
        Optional<String> runningTarget = activeGrants.findTarget(request.fingerprint());
        if (suspects.isSuspect(request.fingerprint())) {
            return runningTarget.isEmpty() && !activeGrants.hasQuarantinedGrant(replica.target());
        }
        if (suspects.hasReceivedResponse(request.fingerprint()) || runningTarget.isEmpty()) {
            return true;
        }
        return runningTarget.get().equals(replica.target());
    }

    private Candidate toCandidate(ReplicaPool.Replica replica, int priority) {
        return new Candidate(
                replica.target(),
                replica.zone(),
                activeGrants.inFlightCount(replica.target()),
                limits.maxInFlight(priority, replica.maxConcurrent()),
                replica.reportedLoad(),
                replica.reportAgeMillis(),
                serviceTimes.expectedTargetMillis(replica.target()));
    }

    /** Issues the grant for a match. */
    Grant issue(Match match) {
        WaitingRequest waitingRequest = match.request();
        AdmissionRequest request = waitingRequest.request();
        String grantId = grantIdPrefix + nextGrantNumber;
        nextGrantNumber++;
        activeGrants.put(new GrantTable.ActiveGrant(
                grantId,
                waitingRequest.nodeId(),
                match.candidate().target(),
                request.artifact(),
                request.requestClass(),
                waitingRequest.priority(),
                request.fingerprint(),
                suspects.isSuspect(request.fingerprint()),
                waitingRequest.deadlineMillis() + GRANT_EXPIRY_SLACK_MILLIS));
        ranking.recordChoice(request.tenant(), limits.weight(request.tenant()), match.overtakes());
        replicas.recordGrant(request.artifact(), match.candidate().target());
        return new Grant(
                grantId,
                match.candidate().target(),
                match.address(),
                waitingRequest.priority(),
                waitingRequest.waitedForLoad());
    }

    Optional<GrantTable.ActiveGrant> release(String grantId) {
        Optional<GrantTable.ActiveGrant> released = activeGrants.removeGrant(grantId);
        released.ifPresent(grant -> replicas.recordRelease(grant.artifact(), grant.target()));
        return released;
    }

    /** Releases all grants of a target and returns them. */
    List<GrantTable.ActiveGrant> releaseTarget(String target) {
        List<GrantTable.ActiveGrant> released = activeGrants.grantsOfTarget(target);
        released.forEach(grant -> release(grant.grantId()));
        return released;
    }

    void releaseNode(String nodeId) {
        for (GrantTable.ActiveGrant grant : activeGrants.grants()) {
            if (grant.nodeId().equals(nodeId)) {
                release(grant.grantId());
            }
        }
    }

    /** Releases expired grants. Returns whether there were any. */
    boolean releaseExpired(long nowMillis) {
        boolean releasedAny = false;
        for (GrantTable.ActiveGrant grant : activeGrants.grants()) {
            if (nowMillis >= grant.expiresAtMillis()) {
                release(grant.grantId());
                releasedAny = true;
            }
        }
        return releasedAny;
    }

    int inFlightCount() {
        return activeGrants.size();
    }

    Collection<GrantTable.ActiveGrant> activeGrants() {
        return activeGrants.grants();
    }
}
