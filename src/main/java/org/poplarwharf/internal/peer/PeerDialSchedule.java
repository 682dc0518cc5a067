package org.poplarwharf.internal.peer;

import java.util.SplittableRandom;

/**
 * When to connect to one address: at once after a link was lost, with growing and jittered waits after failures.
 *
 * <p>Invariant: an address of the VM list whose process does not speak the protocol of nodes is left alone while other
 * links work. Belongs to the control thread.
 */
final class PeerDialSchedule {
    private static final int MAX_DOUBLINGS = 16;
    private static final int FAILING = 2;
    private static final long FOREIGN_PAUSE_MILLIS = 60_000;

    /** How an address was learned. */
    enum Origin {
        /** From the settings; never forgotten. */
        SEED,
        /** From a hello or a lease: a node listened there. */
        NODE,
        /** From the VM list, which names targets too. */
        LIST
    }

    private final String address;
    private final long weight;
    private final PeerOptions options;
    private final SplittableRandom random;
    private Origin origin;
    private boolean connecting;
    private int failures;
    private long nextMillis = Long.MIN_VALUE;
    private long foreignUntilMillis = Long.MIN_VALUE;
    private long failedMillis;

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

    /** Tells whether the last attempts in a row failed or met no node, so that other addresses should be tried first. */
    boolean isFailing() {
        return failures >= FAILING || foreignUntilMillis != Long.MIN_VALUE;
    }

    /** Tells whether the address failed and was not tried again for so long that it should be dropped. */
    boolean isExpired(long nowMillis) {
        return origin == Origin.NODE
                && !connecting
                && isFailing()
                && nowMillis - failedMillis > options.idleTimeoutMillis();
    }

    /** Takes note that an address of the list belongs to a node. */
    void markAsNode() {
        if (origin == Origin.LIST) {
            origin = Origin.NODE;
            foreignUntilMillis = Long.MIN_VALUE;
        }
    }

    /** Tells whether to connect now, with or without other links that work. */
    boolean isDue(long nowMillis, boolean anyLink) {
        boolean leftAlone = anyLink && nowMillis < foreignUntilMillis;
        return !connecting && !leftAlone && nowMillis >= nextMillis;
    }

    /** Tells whether the address has failed so often that it should be dropped. */
    boolean hasExhaustedAttempts() {
        return origin == Origin.NODE && failures >= options.maxFailedAttempts();
    }

    void attemptStarted() {
        connecting = true;
    }

    void attemptSucceeded() {
        connecting = false;
        foreignUntilMillis = Long.MIN_VALUE;
        failures = 0;
    }

    /** A live link was lost: the next attempt is due at once. */
    void connectionLost() {
        connecting = false;
        failures = 0;
        nextMillis = Long.MIN_VALUE;
    }

    /** A connection came up, and what answered did not say hello. */
    void handshakeFailed(long nowMillis) {
        attemptFailed(nowMillis);
        if (origin == Origin.LIST) {
            foreignUntilMillis = nowMillis + FOREIGN_PAUSE_MILLIS;
        }
    }

    void attemptFailed(long nowMillis) {
        connecting = false;
        long doubledMillis = options.minBackoffMillis() << Math.min(failures, MAX_DOUBLINGS);
        long capMillis = Math.min(doubledMillis, options.maxBackoffMillis());
        nextMillis = nowMillis + capMillis / 2 + random.nextLong(capMillis / 2 + 1);
        failedMillis = nowMillis;
        failures++;
    }
}
