package org.poplarwharf.internal.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.dispatch.RunOutcome;

/**
 * Finds out what the events of an attempt tell of its target: the first one, and the first pause that is longer than the
 * stream's objective allows. Pauses in which nothing was read, since the caller took no more, don't count.
 *
 * <p>Invariant: reports each of the two at most once an attempt. Confined to the event loop.
 */
final class EventProgress {
    private final StreamContinuity continuity;
    private final long maxPauseMillis;
    private boolean begun;
    private boolean wasLate;
    private OptionalLong lastEventMillis = OptionalLong.empty();

    EventProgress(StreamContinuity continuity, long maxPauseMillis) {
        this.continuity = continuity;
        this.maxPauseMillis = maxPauseMillis;
    }

    /** Starts anew, for the next attempt. */
    void restart() {
        begun = false;
        wasLate = false;
        lastEventMillis = OptionalLong.empty();
    }

    /** Records that an event, or a whole response, has arrived. */
    Optional<RunOutcome> recordEvents(Attempt attempt, long nowMillis) {
        OptionalLong previousMillis = lastEventMillis;
        lastEventMillis = OptionalLong.of(nowMillis);
        if (!begun) {
            begun = true;
            return Optional.of(continuity.recordFirstEvent(attempt.target(), nowMillis - attempt.sentMillis()));
        }
        long pauseMillis = previousMillis.isPresent() ? nowMillis - previousMillis.getAsLong() : 0;
        if (wasLate || maxPauseMillis == 0 || pauseMillis <= maxPauseMillis) {
            return Optional.empty();
        }
        wasLate = true;
        return Optional.of(new RunOutcome.LatePause(pauseMillis));
    }

    /** Records that the response has ended, which is no event if there were others. */
    Optional<RunOutcome> recordEnd(Attempt attempt, long nowMillis) {
        return begun ? Optional.empty() : recordEvents(attempt, nowMillis);
    }

    /** Records that reading stops for the caller's sake; the next pause is not the target's. */
    void recordReadingPaused() {
        lastEventMillis = OptionalLong.empty();
    }
}
