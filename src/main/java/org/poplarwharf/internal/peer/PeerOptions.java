package org.poplarwharf.internal.peer;

/**
 * The limits and timeouts of connections to other nodes. Immutable and thread-safe.
 *
 * @param pingIntervalMillis the interval between pings on a connection
 * @param silenceTimeoutMillis how long nothing may be received on a connection before it is closed
 * @param connectTimeoutMillis the timeout of connecting, and of receiving the hello message after that
 * @param minBackoffMillis the upper bound of the first delay after a failed attempt
 * @param maxBackoffMillis the upper bound of all delays between attempts
 * @param maxFailedAttempts the number of consecutive failed attempts after which an address that was learned
 *     from a hello message or a lease is removed
 * @param meshConnections the number of connections that a node opens and keeps even when they are idle
 * @param idleTimeoutMillis how long a connection that was opened on demand is kept without a message, and how long a
 *     failing address is kept without a further attempt
 * @param maxFrameBytes the maximum size of a frame in either direction
 * @param maxQueuedBytes the maximum number of bytes queued for writing on one connection
 */
public record PeerOptions(
        long pingIntervalMillis,
        long silenceTimeoutMillis,
        long connectTimeoutMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        int maxFailedAttempts,
        int meshConnections,
        long idleTimeoutMillis,
        int maxFrameBytes,
        int maxQueuedBytes) {
    private static final int FRAME_OVERHEAD_BYTES = 1 << 20;
    private static final int MIN_FRAME_LIMIT_BYTES = 16 << 20;
    private static final int MESH_CONNECTION_COUNT = 8;
    private static final long IDLE_TIMEOUT_MILLIS = 300_000;

    /** Returns the options for nodes that accept request bodies up to a size. */
    public static PeerOptions forBodies(int maxBodyBytes) {
        int maxFrameBytes = Math.max(MIN_FRAME_LIMIT_BYTES, maxBodyBytes + FRAME_OVERHEAD_BYTES);
        return new PeerOptions(
                500,
                1_500,
                1_000,
                50,
                2_000,
                20,
                MESH_CONNECTION_COUNT,
                IDLE_TIMEOUT_MILLIS,
                maxFrameBytes,
                2 * maxFrameBytes);
    }
}
