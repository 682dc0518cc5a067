package org.poplarwharf.internal.standin;

/**
 * Injected faults of an engine stand-in. Immutable and thread-safe.
 *
 * @param crashMarker the engine crashes when it runs a request whose body contains this text; empty for no crash
 * @param dieInLoadAfterMillis the engine crashes this long after each load starts; negative for no crash
 * @param refuseLoads whether load orders are rejected
 * @param stallNextStreams number of next responses that stop permanently after two tokens
 * @param slowTokenFactor factor by which the time between tokens grows
 * @param leaving whether reports say that the engine is leaving
 */
public record EngineFaults(
        String crashMarker,
        long dieInLoadAfterMillis,
        boolean refuseLoads,
        int stallNextStreams,
        double slowTokenFactor,
        boolean leaving) {
    private static final long NO_CRASH_MILLIS = -1;

    /** Returns the settings of an engine without faults. */
    public static EngineFaults none() {
        return new EngineFaults("", NO_CRASH_MILLIS, false, 0, 1, false);
    }

    /** Returns settings that crash the engine on a request whose body contains the marker. */
    public static EngineFaults crashOn(String marker) {
        return new EngineFaults(marker, NO_CRASH_MILLIS, false, 0, 1, false);
    }

    /** Returns settings that crash the engine this long after a load starts. */
    public static EngineFaults crashDuringLoad(long afterMillis) {
        return new EngineFaults("", afterMillis, false, 0, 1, false);
    }

    /** Returns settings that stall the next responses. */
    public static EngineFaults stallNextResponses(int responses) {
        return new EngineFaults("", NO_CRASH_MILLIS, false, responses, 1, false);
    }

    EngineFaults withOneStallUsed() {
        return new EngineFaults(
                crashMarker, dieInLoadAfterMillis, refuseLoads, stallNextStreams - 1, slowTokenFactor, leaving);
    }
}
