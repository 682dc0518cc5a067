package org.poplarwharf.internal.peer;

/**
 * The limits of links to other nodes. Immutable and thread-safe.
 *
 * @param pingMillis how often a link is asked for a sign of life
 * @param silenceMillis how long a link may be silent before it is dropped
 * @param connectMillis how long connecting and the exchange of hellos may take
 * @param backoffMinMillis the first wait after a failed attempt
 * @param backoffMaxMillis the longest wait between attempts
 * @param attemptsBeforeForgotten failed attempts in a row after which an address that was learned is dropped
 * @param meshLinks how many links a node opens and keeps whether they are used or not
 * @param idleMillis how long a further link, opened for a message, is kept without another message
 * @param maxFrameBytes the largest frame that is read or sent
 * @param maxQueuedBytes the most bytes that wait to be written to one link
 */
public record PeerOptions(
        long pingMillis,
        long silenceMillis,
        long connectMillis,
        long backoffMinMillis,
        long backoffMaxMillis,
        int attemptsBeforeForgotten,
        int meshLinks,
        long idleMillis,
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
