package org.poplarwharf.internal.standin;

/**
 * Faults of one link of the proxy. Immutable and thread-safe.
 *
 * @param refuse new connections are refused
 */
public record LinkFaults(boolean refuse, Direction toUpstream, Direction toClient) {
    /**
     * Faults of one direction of a link.
     *
     * @param silent bytes vanish and closing goes unnoticed; a connection that lost bytes stays silent for good
     * @param hold bytes are kept back until this is unset
     * @param delayMillis added to every piece of data
     */
    public record Direction(boolean silent, boolean hold, long delayMillis) {
        /** Returns a direction without faults. */
        public static Direction pass() {
            return new Direction(false, false, 0);
        }
    }

    /** Returns a link without faults. */
    public static LinkFaults pass() {
        return new LinkFaults(false, Direction.pass(), Direction.pass());
    }

    /** Returns a link that refuses new connections. */
    public static LinkFaults refusing() {
        return new LinkFaults(true, Direction.pass(), Direction.pass());
    }

    /** Returns a link that loses everything on the way to the upstream. */
    public static LinkFaults silentToUpstream() {
        return new LinkFaults(false, new Direction(true, false, 0), Direction.pass());
    }

    /** Returns a link that loses everything on the way to the client. */
    public static LinkFaults silentToClient() {
        return new LinkFaults(false, Direction.pass(), new Direction(true, false, 0));
    }

    /** Returns a link that loses everything both ways. */
    public static LinkFaults silent() {
        return new LinkFaults(false, new Direction(true, false, 0), new Direction(true, false, 0));
    }

    /** Returns a link that is slow both ways. */
    public static LinkFaults delayed(long millis) {
        return new LinkFaults(false, new Direction(false, false, millis), new Direction(false, false, millis));
    }

    /** Returns a link that keeps back what goes to the client. */
    public static LinkFaults holdingToClient() {
        return new LinkFaults(false, Direction.pass(), new Direction(false, true, 0));
    }
}
