package org.poplarwharf.internal.holder;

import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.gateway.TargetSelector;

/** A request of this node that waits for a target, and who selects it. Confined to the event loop. */
final class PendingRequest {
    final DispatchRequest request;
    final TargetSelector.Callback callback;
    final long submittedMillis;
    Decider decider = Decider.NO_HOLDER;

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
}
