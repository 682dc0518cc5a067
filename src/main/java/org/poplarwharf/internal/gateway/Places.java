package org.poplarwharf.internal.gateway;

import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;

/** Finds the target for a request. Confined to the event loop. */
public interface Places {
    /** Looks for a target; exactly one of the asker's methods is called, now or later, unless withdrawn before. */
    void seek(DispatchRequest wish, Asker asker);

    /** Gives up a search that has not ended. */
    void withdraw(String key);

    /** Tells how a placed request went: once at its first event, if there is one. */
    void outcome(String key, RunOutcome outcome);

    /** The placed request has ended in order. */
    void ended(String key);

    /** Who looks for a target. */
    interface Asker {
        /** The request may go to the target, with a copy of its memory kept at the other one. */
        void placed(Target target, Optional<Target> backup, String by);

        /** There is no target in time; the caller does best to return after the given time. */
        void refused(String reason, long retryAfterMillis);
    }
}
