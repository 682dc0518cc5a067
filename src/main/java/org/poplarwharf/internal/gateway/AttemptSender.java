package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
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
        Target target = attempt.target();
        long millisLeft = request.deadlineMillis() - attempt.sentMillis();
        recorder.recordSent(target, selectedBy, millisLeft);
        ForwardingTraits forwarding = new ForwardingTraits(
                target.id(),
                millisLeft,
                request.route().kind().isStream() ? lastEventId : OptionalLong.empty(),
                resumeAddress.isEmpty() ? attempt.backup().map(Target::address) : Optional.empty(),
                resumeAddress,
                OptionalInt.of(request.route().priority()));
        attempt.setInFlight(outgoing.send(target, forwarding, attempt));
    }

    /** Ends an attempt before its response has ended. */
    void abandon(Attempt attempt) {
        if (attempt.wasSent()) {
            request.gateway()
                    .crashDetector()
                    .recordAbandonedRun(attempt.target(), request.suspects(), attempt.sentMillis());
        }
        attempt.cancel();
    }
}
