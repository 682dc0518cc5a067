package org.poplarwharf.internal.peer;

import java.util.SplittableRandom;

/**
 * Decides when to connect to one address: immediately after an established connection was lost, with exponential
 * backoff and jitter after failed attempts.
 *
 * <p>Invariant: an address from the VM list whose process doesn't speak the peer protocol is not dialed again for
 * {@link #NON_PEER_DELAY_MILLIS} while this node has other connections. Confined to the control thread.
 */
final class PeerDialSchedule {
    private static final int MAX_DOUBLING_COUNT = 16;
    private static final int FAILING_THRESHOLD_COUNT = 2;
    private static final long NON_PEER_DELAY_MILLIS = 60_000;

    /** The source of an address. */
    enum Origin {
        /** From the settings; never removed. */
        SEED,
        /** From a hello message or a lease: a node has listened there. */
        NODE,
        /** From the VM list, which also contains targets. */
        LIST
    }

    private final String address;
    private final long weight;
    private final PeerOptions options;
    private final SplittableRandom random;
    private Origin origin;
    private boolean connecting;
    private int failureCount;
    private long nextAttemptMillis = Long.MIN_VALUE;
    private long nonPeerUntilMillis = Long.MIN_VALUE;
    private long lastFailureMillis;

    PeerDialSchedule(String address, long weight, Origin origin, PeerOptions options, SplittableRandom random) {
        this.address = address;
        this.weight = weight;
        this.origin = origin;
        this.options = options;
        this.random = random;
    }

    String address() {
        return address;
    }

    Origin origin() {
        return origin;
    }

    long weight() {
        return weight;
    }

    /** Returns whether the last attempts failed or reached no node, so that other addresses are preferred. */
    boolean isFailing() {
        return failureCount >= FAILING_THRESHOLD_COUNT || nonPeerUntilMillis != Long.MIN_VALUE;
    }

    /** Returns whether the address failed and has not been tried for so long that it should be removed. */
    boolean isExpired(long nowMillis) {
        return origin == Origin.NODE
                && !connecting
                && isFailing()
                && nowMillis - lastFailureMillis > options.idleTimeoutMillis();
    }

    /** Records that an address from the VM list belongs to a node. */
    void markAsNode() {
        if (origin == Origin.LIST) {
            origin = Origin.NODE;
            nonPeerUntilMillis = Long.MIN_VALUE;
        }
    }

    /**
     * Returns whether to connect now; {@code hasConnections} is whether this node has other established connections.
     */
    boolean isDue(long nowMillis, boolean hasConnections) {
        boolean isSuspended = hasConnections && nowMillis < nonPeerUntilMillis;
        return !connecting && !isSuspended && nowMillis >= nextAttemptMillis;
    }

    /** Returns whether the address has failed so often that it should be removed. */
    boolean hasExhaustedAttempts() {
        return origin == Origin.NODE && failureCount >= options.maxFailedAttempts();
    }

    void attemptStarted() {
        connecting = true;
    }

    void attemptSucceeded() {
        connecting = false;
        nonPeerUntilMillis = Long.MIN_VALUE;
        failureCount = 0;
    }

    /** Records that an established connection was lost; the next attempt is due immediately. */
    void connectionLost() {
        connecting = false;
        failureCount = 0;
        nextAttemptMillis = Long.MIN_VALUE;
    }

    /** Records that a connection was established but the remote process did not send a hello message. */
    void handshakeFailed(long nowMillis) {
        attemptFailed(nowMillis);
        if (origin == Origin.LIST) {
            nonPeerUntilMillis = nowMillis + NON_PEER_DELAY_MILLIS;
        }
    }

    void attemptFailed(long nowMillis) {
        connecting = false;
        long uncappedDelayMillis = options.minBackoffMillis() << Math.min(failureCount, MAX_DOUBLING_COUNT);
        long maxDelayMillis = Math.min(uncappedDelayMillis, options.maxBackoffMillis());
        nextAttemptMillis = nowMillis + maxDelayMillis / 2 + random.nextLong(maxDelayMillis / 2 + 1);
        lastFailureMillis = nowMillis;
        failureCount++;
    }
}
