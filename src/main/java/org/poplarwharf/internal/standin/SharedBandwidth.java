package org.poplarwharf.internal.standin;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.List;

/**
 * Transfers that share a bounded speed.
 *
 * <p>Invariant: up to the full-speed places each runs at full speed; more share the speed of these evenly. Belongs to one
 * reactor thread.
 */
final class SharedBandwidth {
    private static final long TICK_MILLIS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final NioReactor reactor;
    private final int places;
    private final double bytesPerSecond;
    private final List<Transfer> active = new ArrayList<>();
    private double slowDownFactor = 1;
    private long lastNanos;

    SharedBandwidth(NioReactor reactor, int places, double bytesPerSecond) {
        this.reactor = reactor;
        this.places = places;
        this.bytesPerSecond = bytesPerSecond;
    }

    int active() {
        return active.size();
    }

    void slowDown(double factor) {
        advance();
        slowDownFactor = factor;
    }

    Promise<Void> transfer(long sizeBytes) {
        if (active.isEmpty()) {
            lastNanos = System.nanoTime();
            scheduleTick();
        } else {
            advance();
        }
        Transfer transfer = new Transfer(sizeBytes);
        active.add(transfer);
        return transfer.done;
    }

    private void tick() {
        advance();
        List<Transfer> finished =
                active.stream().filter(transfer -> transfer.remainingBytes <= 0).toList();
        active.removeAll(finished);
        finished.forEach(transfer -> transfer.done.set(null));
        if (!active.isEmpty()) {
            scheduleTick();
        }
    }

    private void scheduleTick() {
        reactor.delayBackground(TICK_MILLIS, this::tick);
    }

    private void advance() {
        long now = System.nanoTime();
        double share = Math.min(1.0, (double) places / Math.max(1, active.size()));
        double bytes = bytesPerSecond * share / slowDownFactor * (now - lastNanos) / NANOS_PER_SECOND;
        active.forEach(transfer -> transfer.remainingBytes -= bytes);
        lastNanos = now;
    }

    private static final class Transfer {
        private final SettablePromise<Void> done = new SettablePromise<>();
        private double remainingBytes;

        private Transfer(long sizeBytes) {
            remainingBytes = sizeBytes;
        }
    }
}
