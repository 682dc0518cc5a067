package org.poplarwharf.internal.gateway;

import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;

/**
 * Keeps a stream at the software version that began it, within one response and over the requests that resume it.
 *
 * <p>Invariant: a target is allowed to continue a stream only if its version is known to be the one that began it.
 * Confined to the event loop.
 */
final class StreamContinuity {
    private final StreamOrigins origins;
    private final RequestTraits traits;
    private final String service;
    private final boolean streaming;
    private boolean begun;

    StreamContinuity(StreamOrigins origins, Route route, RequestTraits traits, String service) {
        this.origins = origins;
        this.traits = traits;
        this.service = service;
        this.streaming = route.kind().isStream();
    }

    /** Records what is known of the stream that the request resumes. */
    void recordResumption(ExchangeRecorder recorder) {
        continuation()
                .ifPresent(stream -> recorder.recordResumption(
                        stream, origins.find(stream.streamId()).isPresent()));
    }

    /** Returns the stream that the next attempt continues; empty if it begins one or the response is none. */
    Optional<StreamContinuation> continuation() {
        if (!streaming || (!begun && !traits.resumesStream())) {
            return Optional.empty();
        }
        String streamId = traits.streamId();
        Optional<String> version = origins.softwareVersionOf(streamId, service);
        return Optional.of(new StreamContinuation(streamId, version));
    }

    /** Returns whether the target may run the next attempt. */
    boolean allows(Target target) {
        // Another node knows, or finds out, which version began the stream.
        return target.isNode()
                || continuation()
                        .map(stream -> stream.softwareVersion().equals(Optional.of(target.softwareVersion())))
                        .orElse(true);
    }

    /** Records the target whose first event is passed on, and returns the outcome with the origin of the stream. */
    RunOutcome recordFirstEvent(Target target, long firstEventMillis) {
        if (!streaming) {
            return new RunOutcome.FirstEventReceived(firstEventMillis, Optional.empty());
        }
        begun = true;
        if (target.isNode()) {
            return new RunOutcome.FirstEventReceived(firstEventMillis, Optional.empty());
        }
        StreamOrigin origin = new StreamOrigin(traits.streamId(), service, target.softwareVersion());
        return new RunOutcome.FirstEventReceived(
                firstEventMillis, Optional.of(origin).filter(origins::record));
    }

    /** Returns the failure of a request that no target may run for the given reason. */
    FailureCode failureCode() {
        return traits.resumesStream() && streaming ? FailureCode.STREAM_VERSION_UNAVAILABLE : FailureCode.OVERLOADED;
    }
}
