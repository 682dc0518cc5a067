package org.poplarwharf.internal.standin;

/**
 * Faults of the log stand-in. Immutable and thread-safe.
 *
 * @param appendOutage appends are answered with 503 and have no effect
 * @param readOutage reads are answered with 503
 * @param delayMillis added to every answer
 * @param loseNextAnswers how many appends from now on take effect without an answer
 * @param loseAnswerProbability the chance that any other append loses its answer
 * @param closeWhenLost whether a lost answer closes the connection; else nothing is ever answered
 */
public record LogFaults(
        boolean appendOutage,
        boolean readOutage,
        long delayMillis,
        int loseNextAnswers,
        double loseAnswerProbability,
        boolean closeWhenLost) {
    /** Returns the faults of a log that works. */
    public static LogFaults none() {
        return new LogFaults(false, false, 0, 0, 0, false);
    }

    /** Returns a full outage. */
    public static LogFaults outage() {
        return new LogFaults(true, true, 0, 0, 0, false);
    }

    /** Returns the loss of the next answers. */
    public static LogFaults loseNext(int answers, boolean close) {
        return new LogFaults(false, false, 0, answers, 0, close);
    }

    LogFaults oneAnswerLost() {
        return new LogFaults(
                appendOutage, readOutage, delayMillis, loseNextAnswers - 1, loseAnswerProbability, closeWhenLost);
    }
}
