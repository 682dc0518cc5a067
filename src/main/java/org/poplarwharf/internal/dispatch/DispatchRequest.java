package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * A request to be placed at a target. Immutable and thread-safe.
 *
 * @param key unique among all requests that wait or run
 * @param zone the availability zone of the node that received the request
 * @param deadlineMillis the time at which the caller stops waiting for the first event, on the dispatcher's clock
 * @param objectiveMillis the time by which the first event should arrive, on the dispatcher's clock
 * @param wantsBackup whether a second target should keep a copy of the run's state, so that the run can continue there
 * @param excluded IDs of targets that have already failed this request
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
        Set<String> excluded) {

    Optional<String> model() {
        return traits.model();
    }
}
