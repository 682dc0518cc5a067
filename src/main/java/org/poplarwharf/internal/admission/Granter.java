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
final class Granter {
    /** How long after its deadline a place is freed that nobody has given back. */
    private static final long EXPIRY_SLACK_MILLIS = 30_000;

    private final Replicas replicas;
    private final ClassLimits limits;
    private final ServiceTimes serviceTimes;
    private final Suspicion suspicion;
    private final Ranking ranking = new Ranking();
    private final ReplicaSelector selector;
    private final Places places = new Places();
    private final String idPrefix;
    private long nextGrant;

    Granter(
            Replicas replicas,
            ClassLimits limits,
            ServiceTimes serviceTimes,
            Suspicion suspicion,
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
    record Match(WaitingRequest waiting, Candidate candidate, String address, boolean overtakes) {}

    /** Returns the next request to grant, or empty when none can be granted now. */
    Optional<Match> next(Waiting waiting) {
        List<Match> matches = new ArrayList<>();
        waiting.queues().forEach((artifact, queue) -> match(artifact, queue).ifPresent(matches::add));
        return ranking.best(matches).map(best -> withOvertaking(best, matches));
    }

    private static Match withOvertaking(Match best, List<Match> matches) {
        boolean overtakesOther = matches.stream()
                .anyMatch(match -> match.waiting().priority() < best.waiting().priority());
        return new Match(best.waiting(), best.candidate(), best.address(), best.overtakes() || overtakesOther);
    }

    private Optional<Match> match(ArtifactId artifact, WaitQueue queue) {
        List<Replicas.Replica> serving = replicas.serving(artifact);
        if (serving.isEmpty() || !hasPlace(serving, queue.highestPriority())) {
            return Optional.empty();
        }
        Optional<WaitingRequest> chosen = ranking.lowestIsDue() && queue.hasSeveralPriorities()
                ? queue.mostDelayed(request -> choose(request, serving).isPresent())
                : queue.first(
                        ranking.share(), request -> choose(request, serving).isPresent());
        return chosen.flatMap(request -> matchOf(request, serving, queue.lowestPriority() < request.priority()));
    }

    private Optional<Match> matchOf(WaitingRequest request, List<Replicas.Replica> serving, boolean overtakes) {
        Optional<Candidate> candidate = choose(request, serving);
        if (candidate.isEmpty()) {
            return Optional.empty();
        }
        return serving.stream()
                .filter(replica -> replica.target().equals(candidate.get().target()))
                .map(replica -> new Match(request, candidate.get(), replica.address(), overtakes))
                .findFirst();
    }

    boolean hasPlace(ArtifactId artifact, int priority) {
        return hasPlace(replicas.serving(artifact), priority);
    }

    private boolean hasPlace(List<Replicas.Replica> serving, int priority) {
        for (Replicas.Replica replica : serving) {
            if (!suspicion.inDoubtTarget(replica.target()) && freePlaces(replica, priority) > 0) {
                return true;
            }
        }
        return false;
    }

    private int freePlaces(Replicas.Replica replica, int priority) {
        return limits.places(priority, replica.maxConcurrent()) - places.inFlight(replica.target());
    }

    private Optional<Candidate> choose(WaitingRequest waiting, List<Replicas.Replica> serving) {
        AdmitRequest request = waiting.request();
        List<Candidate> candidates = new ArrayList<>();
        for (Replicas.Replica replica : serving) {
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

    private boolean mayRun(AdmitRequest request, Replicas.Replica replica) {
        if (request.excludedTargets().contains(replica.target()) || suspicion.inDoubtTarget(replica.target())) {
            return false;
        }
        if (suspicion.mustWait(request.fingerprint())) {
            return false;
        }
        Optional<String> runningOn = places.targetOf(request.fingerprint());
        if (suspicion.suspected(request.fingerprint())) {
            return runningOn.isEmpty() && !places.hasQuarantined(replica.target());
        }
        if (suspicion.proven(request.fingerprint()) || runningOn.isEmpty()) {
            return true;
        }
        return runningOn.get().equals(replica.target());
    }

    private Candidate candidate(Replicas.Replica replica, int priority) {
        return new Candidate(
                replica.target(),
                replica.zone(),
                places.inFlight(replica.target()),
                limits.places(priority, replica.maxConcurrent()),
                replica.reportedLoad(),
                replica.reportAgeMillis(),
                serviceTimes.targetMillis(replica.target()));
    }

    /** Takes the place of a match. */
    Grant take(Match match) {
        WaitingRequest waiting = match.waiting();
        AdmitRequest request = waiting.request();
        String grantId = idPrefix + nextGrant;
        nextGrant++;
        places.take(new Places.Taken(
                grantId,
                waiting.nodeId(),
                match.candidate().target(),
                request.artifact(),
                request.requestClass(),
                waiting.priority(),
                request.fingerprint(),
                suspicion.suspected(request.fingerprint()),
                waiting.deadlineMillis() + EXPIRY_SLACK_MILLIS));
        ranking.chosen(request.tenant(), limits.weight(request.tenant()), match.overtakes());
        replicas.acquired(request.artifact(), match.candidate().target());
        return new Grant(
                grantId, match.candidate().target(), match.address(), waiting.priority(), waiting.waitedForLoad());
    }

    Optional<Places.Taken> free(String grantId) {
        Optional<Places.Taken> freed = places.free(grantId);
        freed.ifPresent(taken -> replicas.released(taken.artifact(), taken.target()));
        return freed;
    }

    /** Frees all places of a target and returns them. */
    List<Places.Taken> freeOfTarget(String target) {
        List<Places.Taken> taken = places.ofTarget(target);
        taken.forEach(place -> free(place.grantId()));
        return taken;
    }

    void freeOfNode(String nodeId) {
        for (Places.Taken taken : places.all()) {
            if (taken.nodeId().equals(nodeId)) {
                free(taken.grantId());
            }
        }
    }

    /** Frees places that have expired; returns whether there were any. */
    boolean freeExpired(long nowMillis) {
        boolean freedAny = false;
        for (Places.Taken taken : places.all()) {
            if (nowMillis >= taken.expiresAtMillis()) {
                free(taken.grantId());
                freedAny = true;
            }
        }
        return freedAny;
    }

    int inFlight() {
        return places.size();
    }

    Collection<Places.Taken> taken() {
        return places.all();
    }
}
