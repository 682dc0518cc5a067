package org.poplarwharf.internal.standin;

/**
 * Injected faults of the log stand-in. Immutable and thread-safe.
 *
 * @param appendOutage whether appends fail with status 503 and have no effect
 * @param readOutage whether reads fail with status 503
 * @param delayMillis delay added to every response
 * @param loseNextAnswers number of next appends that take effect but get no response
 * @param loseAnswerProbability probability that any further append takes effect but gets no response
 * @param closeWhenLost whether the connection closes when a response is lost; otherwise it stays open without a response
 */
public record LogFaults(
        boolean appendOutage,
        boolean readOutage,
        long delayMillis,
        int loseNextAnswers,
        double loseAnswerProbability,
        boolean closeWhenLost) {
    /** Returns the settings of a log without faults. */
    public static LogFaults none() {
        return new LogFaults(false, false, 0, 0, 0, false);
    }

    /** Returns settings in which all appends and reads fail. */
    public static LogFaults outage() {
        return new LogFaults(true, true, 0, 0, 0, false);
    }

    /** Returns settings that lose the responses to the next appends. */
    public static LogFaults loseNextResponses(int responses, boolean closeConnection) {
        return new LogFaults(false, false, 0, responses, 0, closeConnection);
    }

    LogFaults withOneLossUsed() {
        return new LogFaults(
                appendOutage, readOutage, delayMillis, loseNextAnswers - 1, loseAnswerProbability, closeWhenLost);
    }
}
