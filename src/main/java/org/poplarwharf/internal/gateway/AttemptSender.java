package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;

/**
 * Searches targets for the attempts of one exchange, and sends the attempts.
 *
 * <p>Invariant: no search finds an excluded target. Confined to the event loop.
 */
final class AttemptSender {
    private final RequestContext request;
    private final OutgoingRequests outgoing;
    private final AttemptLimits limits;
    private final ExchangeRecorder recorder;
    private final StreamContinuity continuity;
    private final Set<String> excluded = new HashSet<>();

    AttemptSender(
            RequestContext request,
            OutgoingRequests outgoing,
            AttemptLimits limits,
            ExchangeRecorder recorder,
            StreamContinuity continuity) {
        this.request = request;
        this.outgoing = outgoing;
        this.limits = limits;
        this.recorder = recorder;
        this.continuity = continuity;
    }

    /** Excludes a target from all further searches. */
    void exclude(Target target) {
        excluded.add(target.id());
    }

    /** Searches a target under the given key. */
    void search(String key, TargetSelector.Callback callback) {
        limits.recordAttempt();
        recorder.recordSelection(limits.attemptCount());
        request.selector().select(outgoing.dispatchRequest(key, excluded, continuity.continuation()), callback);
    }

    /**
     * Sends the request to a target.
     *
     * @param lastEventId the last event that the caller has of a stream
     * @param resumeAddress the address of the backup copy from which the stream resumes
     */
    void send(Attempt attempt, OptionalLong lastEventId, Optional<InetSocketAddress> resumeAddress, String selectedBy) {
        ForwardingTraits forwarding = forwardingTraits(attempt, lastEventId, resumeAddress);
        recorder.recordSent(attempt.target(), selectedBy, forwarding.millisLeft());
        request.gateway().statements().recordSent(attempt);
        attempt.setInFlight(outgoing.send(attempt.target(), forwarding, attempt));
    }

    /**
     * Sends the request to a target that is to take the place of a silent one. Kept connections may have gone silent with
     * that target's, so a new one is used.
     */
    void sendReplacement(Attempt attempt, OptionalLong lastEventId, String selectedBy) {
        ForwardingTraits forwarding = forwardingTraits(attempt, lastEventId, Optional.empty());
        recorder.recordSent(attempt.target(), selectedBy, forwarding.millisLeft());
        request.gateway().statements().recordSent(attempt);
        attempt.setInFlight(outgoing.sendOnNewConnection(attempt.target(), forwarding, attempt));
    }

    private ForwardingTraits forwardingTraits(
            Attempt attempt, OptionalLong lastEventId, Optional<InetSocketAddress> resumeAddress) {
        return new ForwardingTraits(
                attempt.target().id(),
                request.deadlineMillis() - attempt.sentMillis(),
                request.route().kind().isStream() ? lastEventId : OptionalLong.empty(),
                resumeAddress.isEmpty() ? attempt.backup().map(Target::address) : Optional.empty(),
                resumeAddress,
                OptionalInt.of(request.priority()),
                request.caller());
    }

    /**
     * Returns the target at which the request can go on after an attempt that broke: the one with the backup copy of the run,
     * or the silent one that the attempt had replaced.
     */
    Optional<Target> continuationTarget(Attempt broken, ResponseRelay response) {
        return broken.backup()
                .filter(target -> response.hasForwardedEvents())
                .or(() -> broken.replaced().filter(target -> limits.isRerunAllowed(response)))
                .filter(target -> request.gateway().mayContinueAt(target) && continuity.allows(target));
    }

    /** Reports what an attempt has come to, if it is new. */
    void report(Attempt attempt, Optional<RunOutcome> outcome) {
        outcome.ifPresent(reported -> request.selector().reportOutcome(attempt.key(), reported));
    }

    /** Reports that an attempt has ended normally, and whether its response was certainly a success. */
    void reportEnd(Attempt attempt, boolean successful) {
        request.selector().reportEnd(attempt.key(), successful);
        request.gateway().crashDetector().recordResponse(request.suspects(), successful);
        if (successful) {
            recorder.recordRunTime(attempt.sentMillis());
        }
    }

    /** Ends the search for a target or, if there is one, the attempt at it. */
    void release(Optional<Attempt> current, String searchKey) {
        current.ifPresent(this::abandon);
        request.selector().cancel(searchKey);
        request.selector().reportOutcome(searchKey, new RunOutcome.Abandoned());
    }

    /** Ends an attempt before its response has ended. */
    void abandon(Attempt attempt) {
        if (attempt.wasSent()) {
            request.gateway()
                    .crashDetector()
                    .recordAbandonedRun(attempt.target(), request.suspects(), attempt.sentMillis());
            recorder.recordRunTime(attempt.sentMillis());
        }
        attempt.cancel();
    }
}
