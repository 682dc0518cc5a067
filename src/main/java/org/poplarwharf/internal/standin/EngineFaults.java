package org.poplarwharf.internal.standin;

/**
 * Faults of an engine stand-in. Immutable and thread-safe.
 *
 * @param crashMarker a request whose body holds this text kills the engine once it runs; empty for none
 * @param dieInLoadAfterMillis the engine dies this long after its next load began; negative for not
 * @param refuseLoads load orders are refused
 * @param stallNextStreams how many of the next answers stop for good after two tokens
 * @param slowTokenFactor tokens take this many times as long
 * @param leaving whether the report says that the engine is leaving
 */
public record EngineFaults(
        String crashMarker,
        long dieInLoadAfterMillis,
        boolean refuseLoads,
        int stallNextStreams,
        double slowTokenFactor,
        boolean leaving) {
    private static final long NEVER = -1;

    /** Returns the faults of an engine that works. */
    public static EngineFaults none() {
        return new EngineFaults("", NEVER, false, 0, 1, false);
    }

    /** Returns the crash on a body that holds a marker. */
    public static EngineFaults crashOn(String marker) {
        return new EngineFaults(marker, NEVER, false, 0, 1, false);
    }

    /** Returns the death in the middle of the next load. */
    public static EngineFaults dieInLoad(long afterMillis) {
        return new EngineFaults("", afterMillis, false, 0, 1, false);
    }

    /** Returns the stall of the next answers. */
    public static EngineFaults stallNext(int answers) {
        return new EngineFaults("", NEVER, false, answers, 1, false);
    }

    EngineFaults afterStall() {
        return new EngineFaults(
                crashMarker, dieInLoadAfterMillis, refuseLoads, stallNextStreams - 1, slowTokenFactor, leaving);
    }
}
