package org.poplarwharf.internal.standin;

/**
 * Faults of the plain service stand-in. Immutable and thread-safe.
 *
 * @param serviceMillis how long a call takes
 * @param status the status of every answer
 * @param dieAfterNextCall the next call takes effect, then the service dies without an answer
 * @param cutNextAnswers how many calls take effect without a whole answer
 * @param silentNextAnswers how many calls take effect and are never answered
 */
public record ServiceFaults(
        long serviceMillis, int status, boolean dieAfterNextCall, int cutNextAnswers, int silentNextAnswers) {
    private static final int STATUS_OK = 200;

    /** Returns the faults of a service that works and takes this long. */
    public static ServiceFaults none(long serviceMillis) {
        return new ServiceFaults(serviceMillis, STATUS_OK, false, 0, 0);
    }

    ServiceFaults afterCut() {
        return new ServiceFaults(serviceMillis, status, dieAfterNextCall, cutNextAnswers - 1, silentNextAnswers);
    }

    ServiceFaults afterSilence() {
        return new ServiceFaults(serviceMillis, status, dieAfterNextCall, cutNextAnswers, silentNextAnswers - 1);
    }
}
