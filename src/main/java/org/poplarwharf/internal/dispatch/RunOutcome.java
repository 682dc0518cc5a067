package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import org.poplarwharf.internal.stream.StreamOrigin;

/** Progress or end of a run at a target, as seen by the node that sent the request. Immutable and thread-safe. */
public sealed interface RunOutcome {
    /**
     * The first event of the response arrived this long after the request was sent. The run continues.
     *
     * @param origin the origin of the stream, if the response is one
     */
    record FirstEventReceived(long firstEventMillis, Optional<StreamOrigin> origin) implements RunOutcome {}

    /**
     * For the first time in a stream, an event arrived later after the one before than its objective allows. The run
     * continues.
     */
    record LatePause(long pauseMillis) implements RunOutcome {}

    /**
     * The target stated that it didn't run the request: the model or the adapter isn't loaded, or the target is full.
     */
    record Declined() implements RunOutcome {}

    /** The connection couldn't be opened, or failed before the end of the response. */
    record ConnectionFailed() implements RunOutcome {}

    /** The caller disconnected, or the response ended for a reason unrelated to the target's health. */
    record Abandoned() implements RunOutcome {}

    /** Returns whether the run has ended. */
    default boolean endsRun() {
        return !(this instanceof FirstEventReceived) && !(this instanceof LatePause);
    }
}
