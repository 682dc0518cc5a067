package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ReplicaSelector;
import org.poplarwharf.plugins.ReplicaSelector.Candidate;

/**
 * Matches waiting requests to free places and keeps count of the places that are taken.
 *
 * <p>Invariants: a target never has more grants than it has places; a suspect shares a target with no other suspect; a
 * fingerprint that was never answered is in flight on one target at the most. Belongs to the control thread.
 */
final class GrantScheduler {
    /** How long after its deadline a place is freed that nobody has given back. */
    private static final long EXPIRY_SLACK_MILLIS = 30_000;

    private final ReplicaPool replicas;
    private final AdmissionLimits limits;
    private final ServiceTimeEstimator serviceTimes;
    private final CrashSuspects suspicion;
    private final GrantRanking ranking = new GrantRanking();
    private final ReplicaSelector selector;
    private final GrantTable places = new GrantTable();
    private final String idPrefix;
    private long nextGrant;

    GrantScheduler(
            ReplicaPool replicas,
            AdmissionLimits limits,
            ServiceTimeEstimator serviceTimes,
            CrashSuspects suspicion,
            ReplicaSelector selector,
            String idPrefix) {
        this.replicas = replicas;
        this.limits = limits;
        this.serviceTimes = serviceTimes;
        this.suspicion = suspicion;
        this.selector = selector;
        this.idPrefix = idPrefix;
    }

    /**
     * A waiting request and the replica that can run it now.
     *
     * @param overtakes whether a request of a lower priority waits for the same artifact
     */
    record Match(WaitingRequest request, Candidate candidate, String address, boolean overtakes) {}

    /** Returns the next request to grant, or empty when none can be granted now. */
    Optional<Match> nextMatch(RequestQueues waiting) {
        List<Match> matches = new ArrayList<>();
        waiting.queues().forEach((artifact, queue) -> match(artifact, queue).ifPresent(matches::add));
        return ranking.best(matches).map(best -> withOvertaking(best, matches));
    }

    private static Match withOvertaking(Match best, List<Match> matches) {
        boolean overtakesOther = matches.stream()
                .anyMatch(match -> match.request().priority() < best.request().priority());
        return new Match(best.request(), best.candidate(), best.address(), best.overtakes() || overtakesOther);
    }

    private Optional<Match> match(ArtifactId artifact, ArtifactQueue queue) {
        List<ReplicaPool.Replica> serving = replicas.servingReplicas(artifact);
        if (serving.isEmpty() || !hasFreePermit(serving, queue.highestPriority())) {
            return Optional.empty();
        }
        Optional<WaitingRequest> chosen = ranking.isLowestPriorityDue() && queue.hasSeveralPriorities()
                ? queue.findOldestOfLowestPriority(
                        request -> choose(request, serving).isPresent())
                : queue.findFirst(
                        ranking.fairShare(), request -> choose(request, serving).isPresent());
        return chosen.flatMap(request -> matchOf(request, serving, queue.lowestPriority() < request.priority()));
    }

    private Optional<Match> matchOf(WaitingRequest request, List<ReplicaPool.Replica> serving, boolean overtakes) {
        Optional<Candidate> candidate = choose(request, serving);
        if (candidate.isEmpty()) {
            return Optional.empty();
        }
        return serving.stream()
                .filter(replica -> replica.target().equals(candidate.get().target()))
                .map(replica -> new Match(request, candidate.get(), replica.address(), overtakes))
                .findFirst();
    }

    boolean hasFreePermit(ArtifactId artifact, int priority) {
        return hasFreePermit(replicas.servingReplicas(artifact), priority);
    }

    private boolean hasFreePermit(List<ReplicaPool.Replica> serving, int priority) {
        for (ReplicaPool.Replica replica : serving) {
            if (!suspicion.isTargetInDoubt(replica.target()) && freePlaces(replica, priority) > 0) {
                return true;
            }
        }
        return false;
    }

    private int freePlaces(ReplicaPool.Replica replica, int priority) {
        return limits.maxInFlight(priority, replica.maxConcurrent()) - places.inFlightCount(replica.target());
    }

    private Optional<Candidate> choose(WaitingRequest waiting, List<ReplicaPool.Replica> serving) {
        AdmissionRequest request = waiting.request();
        List<Candidate> candidates = new ArrayList<>();
        for (ReplicaPool.Replica replica : serving) {
            if (mayRun(request, replica) && freePlaces(replica, waiting.priority()) > 0) {
                candidates.add(candidate(replica, waiting.priority()));
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ReplicaSelector.Query query =
                new ReplicaSelector.Query(request.artifact(), request.zone(), request.prefixHash());
        return selector.select(query, candidates);
    }

    private boolean mayRun(AdmissionRequest request, ReplicaPool.Replica replica) {
        if (request.excludedTargets().contains(replica.target()) || suspicion.isTargetInDoubt(replica.target())) {
            return false;
        }
        if (suspicion.mustWait(request.fingerprint())) {
            return false;
        }
        Optional<String> runningOn = places.findTarget(request.fingerprint());
        if (suspicion.isSuspect(request.fingerprint())) {
            return runningOn.isEmpty() && !places.hasQuarantinedGrant(replica.target());
        }
        if (suspicion.hasBeenAnswered(request.fingerprint()) || runningOn.isEmpty()) {
            return true;
        }
        return runningOn.get().equals(replica.target());
    }

    private Candidate candidate(ReplicaPool.Replica replica, int priority) {
        return new Candidate(
                replica.target(),
                replica.zone(),
                places.inFlightCount(replica.target()),
                limits.maxInFlight(priority, replica.maxConcurrent()),
                replica.reportedLoad(),
                replica.reportAgeMillis(),
                serviceTimes.expectedTargetMillis(replica.target()));
    }

    /** Takes the place of a match. */
    Grant issue(Match match) {
        WaitingRequest waiting = match.request();
        AdmissionRequest request = waiting.request();
        String grantId = idPrefix + nextGrant;
        nextGrant++;
        places.put(new GrantTable.ActiveGrant(
                grantId,
                waiting.nodeId(),
                match.candidate().target(),
                request.artifact(),
                request.requestClass(),
                waiting.priority(),
                request.fingerprint(),
                suspicion.isSuspect(request.fingerprint()),
                waiting.deadlineMillis() + EXPIRY_SLACK_MILLIS));
        ranking.recordChoice(request.tenant(), limits.weight(request.tenant()), match.overtakes());
        replicas.recordGrant(request.artifact(), match.candidate().target());
        return new Grant(
                grantId, match.candidate().target(), match.address(), waiting.priority(), waiting.waitedForLoad());
    }

    Optional<GrantTable.ActiveGrant> release(String grantId) {
        Optional<GrantTable.ActiveGrant> freed = places.removeGrant(grantId);
        freed.ifPresent(taken -> replicas.recordRelease(taken.artifact(), taken.target()));
        return freed;
    }

    /** Frees all places of a target and returns them. */
    List<GrantTable.ActiveGrant> releaseTarget(String target) {
        List<GrantTable.ActiveGrant> taken = places.grantsOfTarget(target);
        taken.forEach(place -> release(place.grantId()));
        return taken;
    }

    void releaseNode(String nodeId) {
        for (GrantTable.ActiveGrant taken : places.grants()) {
            if (taken.nodeId().equals(nodeId)) {
                release(taken.grantId());
            }
        }
    }

    /** Frees places that have expired; returns whether there were any. */
    boolean releaseExpired(long nowMillis) {
        boolean freedAny = false;
        for (GrantTable.ActiveGrant taken : places.grants()) {
            if (nowMillis >= taken.expiresAtMillis()) {
                release(taken.grantId());
                freedAny = true;
            }
        }
        return freedAny;
    }

    int inFlightCount() {
        return places.size();
    }

    Collection<GrantTable.ActiveGrant> activeGrants() {
        return places.grants();
    }
}
