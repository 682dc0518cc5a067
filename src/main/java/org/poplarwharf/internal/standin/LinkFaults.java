package org.poplarwharf.internal.standin;

/**
 * Injected faults of one proxy link. Immutable and thread-safe.
 *
 * @param refuse whether new connections are refused
 */
public record LinkFaults(boolean refuse, Direction toUpstream, Direction toClient) {
    /**
     * Injected faults of one direction of a link. Immutable and thread-safe.
     *
     * @param silent whether bytes are dropped and a close is not forwarded; a connection that lost bytes stays silent
     * @param hold whether bytes are held back until this is unset
     * @param delayMillis delay added to every chunk of data
     */
    public record Direction(boolean silent, boolean hold, long delayMillis) {
        /** Returns a direction without faults. */
        public static Direction none() {
            return new Direction(false, false, 0);
        }
    }

    /** Returns a link without faults. */
    public static LinkFaults none() {
        return new LinkFaults(false, Direction.none(), Direction.none());
    }

    /** Returns a link that refuses new connections. */
    public static LinkFaults refusing() {
        return new LinkFaults(true, Direction.none(), Direction.none());
    }

    /** Returns a link that drops all data sent to the upstream. */
    public static LinkFaults silentToUpstream() {
        return new LinkFaults(false, new Direction(true, false, 0), Direction.none());
    }

    /** Returns a link that drops all data sent to the client. */
    public static LinkFaults silentToClient() {
        return new LinkFaults(false, Direction.none(), new Direction(true, false, 0));
    }

    /** Returns a link that drops all data in both directions. */
    public static LinkFaults silent() {
        return new LinkFaults(false, new Direction(true, false, 0), new Direction(true, false, 0));
    }

    /** Returns a link that delays data in both directions. */
    public static LinkFaults delayed(long millis) {
        return new LinkFaults(false, new Direction(false, false, millis), new Direction(false, false, millis));
    }

    /** Returns a link that holds back all data sent to the client. */
    public static LinkFaults holdingToClient() {
        return new LinkFaults(false, Direction.none(), new Direction(false, true, 0));
    }
}
