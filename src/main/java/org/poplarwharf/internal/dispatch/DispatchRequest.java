package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;

/**
 * A request to be placed at a target. Immutable and thread-safe.
 *
 * @param key unique among all requests that wait or run
 * @param zone the availability zone of the node that received the request
 * @param deadlineMillis the time at which the caller stops waiting for the first event, on the dispatcher's clock
 * @param objectiveMillis the time by which the first event should arrive, on the dispatcher's clock
 * @param wantsBackup whether a second target should keep a copy of the run's state, so that the run can continue there
 * @param excluded IDs of targets that have already failed this request
 * @param continuation the stream that the request continues; empty if it begins one or is no stream
 * @param account the name of the client account of the request; empty if it belongs to none
 * @param maxEventGapMillis the maximum time between two events of a stream that meets its objective; zero if it has none
 * @param node the name of the node that sends the request, among the dispatcher's {@link RequestNodes}
 */
public record DispatchRequest(
        String key,
        String zone,
        String service,
        RequestTraits traits,
        int priority,
        long deadlineMillis,
        long objectiveMillis,
        boolean wantsBackup,
        Set<String> excluded,
        Optional<StreamContinuation> continuation,
        Optional<String> account,
        long maxEventGapMillis,
        String node) {

    /** Creates a request of the node that decides. */
    public DispatchRequest(
            String key,
            String zone,
            String service,
            RequestTraits traits,
            int priority,
            long deadlineMillis,
            long objectiveMillis,
            boolean wantsBackup,
            Set<String> excluded,
            Optional<StreamContinuation> continuation,
            Optional<String> account,
            long maxEventGapMillis) {
        this(
                key,
                zone,
                service,
                traits,
                priority,
                deadlineMillis,
                objectiveMillis,
                wantsBackup,
                excluded,
                continuation,
                account,
                maxEventGapMillis,
                RequestNodes.OWN);
    }

    Optional<String> model() {
        return traits.model();
    }

    /** Returns whether the target was not excluded and runs a software version that may run the request. */
    public boolean accepts(Target target) {
        return !excluded.contains(target.id())
                && (continuation.isEmpty()
                        || continuation.get().softwareVersion().equals(Optional.of(target.softwareVersion())));
    }

    /** Returns whether the request continues a stream whose software version is not known yet, so that no target may run it. */
    public boolean hasUnknownStreamOrigin() {
        return continuation.filter(stream -> stream.softwareVersion().isEmpty()).isPresent();
    }

    /** Returns the request with the software version that began its stream. */
    public DispatchRequest withSoftwareVersion(String version) {
        return copy(continuation.map(stream -> new StreamContinuation(stream.streamId(), Optional.of(version))), node);
    }

    /** Returns the request as one that another node sends. */
    public DispatchRequest withNode(String name) {
        return copy(continuation, name);
    }

    private DispatchRequest copy(Optional<StreamContinuation> newContinuation, String newNode) {
        return new DispatchRequest(
                key,
                zone,
                service,
                traits,
                priority,
                deadlineMillis,
                objectiveMillis,
                wantsBackup,
                excluded,
                newContinuation,
                account,
                maxEventGapMillis,
                newNode);
    }
}
