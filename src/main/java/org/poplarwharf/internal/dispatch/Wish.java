package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * A request that wants a target. Immutable and thread-safe.
 *
 * @param key unique among all wishes under way
 * @param zone the availability zone of the node that took the request
 * @param deadlineMillis when the caller stops waiting for its first event, on the dispatcher's clock
 * @param objectiveMillis when the first event should have come, on the dispatcher's clock
 * @param wantsBackup whether a second target should keep a copy of the run's memory, so that it can go on there
 * @param excluded targets that failed this request
 */
public record Wish(
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
