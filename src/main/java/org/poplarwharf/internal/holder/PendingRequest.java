package org.poplarwharf.internal.holder;

import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.gateway.TargetSelector;

/** A request of this node that waits for a target, and who selects it. Confined to the event loop. */
final class PendingRequest {
    final DispatchRequest request;
    final TargetSelector.Callback callback;
    final long submittedMillis;
    Decider decider = Decider.NO_HOLDER;
    private Optional<Long> lastRead = Optional.empty();

    /** Who selects the target of a request. */
    enum Decider {
        LOCAL_HOLDER,
        REMOTE_HOLDER,
        NO_HOLDER
    }

    PendingRequest(DispatchRequest request, TargetSelector.Callback callback, long submittedMillis) {
        this.request = request;
        this.callback = callback;
        this.submittedMillis = submittedMillis;
    }

    /**
     * Returns whether a request whose time to wait is over awaits a read of the log. It awaits the first one that it is asked
     * about, and none that begins later.
     *
     * @param read the number of the read under way
     */
    boolean awaitsRead(Optional<Long> read) {
        if (lastRead.isEmpty()) {
            lastRead = read;
        }
        return read.isPresent() && read.equals(lastRead);
    }
}
