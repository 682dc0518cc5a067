package org.poplarwharf.internal.peer;

import java.util.SplittableRandom;

/**
 * When to connect to one address: at once after a link was lost, with growing and jittered waits after failures.
 *
 * <p>Belongs to the control thread.
 */
final class PeerDialler {
    private static final int MAX_DOUBLINGS = 16;

    private final String address;
    private final boolean seed;
    private final PeerOptions options;
    private final SplittableRandom random;
    private boolean connecting;
    private int failures;
    private long nextMillis = Long.MIN_VALUE;

    PeerDialler(String address, boolean seed, PeerOptions options, SplittableRandom random) {
        this.address = address;
        this.seed = seed;
        this.options = options;
        this.random = random;
    }

    String address() {
        return address;
    }

    boolean due(long nowMillis) {
        return !connecting && nowMillis >= nextMillis;
    }

    /** Tells whether the address has failed so often that it should be dropped. */
    boolean exhausted() {
        return !seed && failures >= options.attemptsBeforeForgotten();
    }

    void begun() {
        connecting = true;
    }

    void succeeded() {
        connecting = false;
        failures = 0;
    }

    /** A live link was lost: the next attempt is due at once. */
    void lost() {
        connecting = false;
        failures = 0;
        nextMillis = Long.MIN_VALUE;
    }

    void failed(long nowMillis) {
        connecting = false;
        long doubledMillis = options.backoffMinMillis() << Math.min(failures, MAX_DOUBLINGS);
        long capMillis = Math.min(doubledMillis, options.backoffMaxMillis());
        nextMillis = nowMillis + capMillis / 2 + random.nextLong(capMillis / 2 + 1);
        failures++;
    }
}
