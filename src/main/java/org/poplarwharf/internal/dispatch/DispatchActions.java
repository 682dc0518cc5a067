package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import org.poplarwharf.internal.fleet.Target;

/** What a dispatcher has done. Called from the dispatcher; must not call back into it at once. */
public interface DispatchActions {
    /** The request may be sent to the target, with a copy of its memory kept at the other one. */
    void grant(Wish wish, Target target, Optional<Target> backup);

    /** The request was not placed and is forgotten; a caller does best to return after the given time. */
    void refuse(Wish wish, String reason, long retryAfterMillis);

    /** The order must be sent, and its answer given to {@link Dispatcher#ordered}. */
    void order(EngineOrder order);

    /** Something was decided that is worth a line in the log: its name, then names and values in turn. */
    void decided(String event, Object... fields);

    /** The target must be asked for a report, to be given to {@link Dispatcher#reported}. */
    void askReport(Target target);
}
