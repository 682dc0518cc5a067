package org.poplarwharf.internal.peer;

/**
 * The limits of links to other nodes. Immutable and thread-safe.
 *
 * @param pingIntervalMillis how often a link is asked for a sign of life
 * @param silenceTimeoutMillis how long a link may be silent before it is dropped
 * @param connectTimeoutMillis how long connecting and the exchange of hellos may take
 * @param minBackoffMillis the first wait after a failed attempt
 * @param maxBackoffMillis the longest wait between attempts
 * @param maxFailedAttempts failed attempts in a row after which an address that was learned is dropped
 * @param meshConnections how many links a node opens and keeps whether they are used or not
 * @param idleTimeoutMillis how long a further link, opened for a message, is kept without another message
 * @param maxFrameBytes the largest frame that is read or sent
 * @param maxQueuedBytes the most bytes that wait to be written to one link
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
    private static final int MIN_FRAME_BYTES = 16 << 20;
    private static final int MESH_LINKS = 8;
    private static final long IDLE_MILLIS = 300_000;

    /** Returns the limits for nodes that accept bodies up to a size. */
    public static PeerOptions forBodies(int maxBodyBytes) {
        int maxFrameBytes = Math.max(MIN_FRAME_BYTES, maxBodyBytes + FRAME_OVERHEAD_BYTES);
        return new PeerOptions(
                500, 1_500, 1_000, 50, 2_000, 20, MESH_LINKS, IDLE_MILLIS, maxFrameBytes, 2 * maxFrameBytes);
    }
}
