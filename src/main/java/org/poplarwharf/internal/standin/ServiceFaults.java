package org.poplarwharf.internal.standin;

/**
 * Injected faults of the plain service stand-in. Immutable and thread-safe.
 *
 * @param serviceMillis time that a call takes
 * @param status HTTP status of every response
 * @param dieAfterNextCall whether the service crashes after the next call has taken effect, without a response
 * @param cutNextAnswers number of next calls that take effect but whose response is cut off
 * @param silentNextAnswers number of next calls that take effect but never get a response
 */
public record ServiceFaults(
        long serviceMillis, int status, boolean dieAfterNextCall, int cutNextAnswers, int silentNextAnswers) {
    private static final int STATUS_OK = 200;

    /** Returns the settings of a service without faults whose calls take this long. */
    public static ServiceFaults none(long serviceMillis) {
        return new ServiceFaults(serviceMillis, STATUS_OK, false, 0, 0);
    }

    ServiceFaults withOneCutUsed() {
        return new ServiceFaults(serviceMillis, status, dieAfterNextCall, cutNextAnswers - 1, silentNextAnswers);
    }

    ServiceFaults withOneSilenceUsed() {
        return new ServiceFaults(serviceMillis, status, dieAfterNextCall, cutNextAnswers, silentNextAnswers - 1);
    }
}
