package org.poplarwharf.internal.standin;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.List;

/**
 * Simulates concurrent transfers that share limited bandwidth.
 *
 * <p>Invariant: up to {@code fullSpeedTransfers} transfers run at full speed each; more transfers share that total bandwidth
 * evenly. Confined to one reactor thread.
 */
final class SharedBandwidth {
    private static final long TICK_MILLIS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final NioReactor reactor;
    private final int fullSpeedTransfers;
    private final double bytesPerSecond;
    private final List<Transfer> transfers = new ArrayList<>();
    private double slowDownFactor = 1;
    private long lastUpdateNanos;

    SharedBandwidth(NioReactor reactor, int fullSpeedTransfers, double bytesPerSecond) {
        this.reactor = reactor;
        this.fullSpeedTransfers = fullSpeedTransfers;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Returns the number of transfers in progress. */
    int activeCount() {
        return transfers.size();
    }

    /** Divides the bandwidth by a factor from now on. */
    void setSlowDownFactor(double factor) {
        updateProgress();
        slowDownFactor = factor;
    }

    /** Starts a transfer; the promise completes when all its bytes would have been transferred. */
    Promise<Void> transfer(long sizeBytes) {
        if (transfers.isEmpty()) {
            lastUpdateNanos = System.nanoTime();
            scheduleNextTick();
        } else {
            updateProgress();
        }
        Transfer transfer = new Transfer(sizeBytes);
        transfers.add(transfer);
        return transfer.done;
    }

    private void completeFinished() {
        updateProgress();
        List<Transfer> finished = transfers.stream()
                .filter(transfer -> transfer.remainingBytes <= 0)
                .toList();
        transfers.removeAll(finished);
        finished.forEach(transfer -> transfer.done.set(null));
        if (!transfers.isEmpty()) {
            scheduleNextTick();
        }
    }

    private void scheduleNextTick() {
        reactor.delayBackground(TICK_MILLIS, this::completeFinished);
    }

    private void updateProgress() {
        long nowNanos = System.nanoTime();
        double speedFraction = Math.min(1.0, (double) fullSpeedTransfers / Math.max(1, transfers.size()));
        double transferredBytes =
                bytesPerSecond * speedFraction / slowDownFactor * (nowNanos - lastUpdateNanos) / NANOS_PER_SECOND;
        transfers.forEach(transfer -> transfer.remainingBytes -= transferredBytes);
        lastUpdateNanos = nowNanos;
    }

    private static final class Transfer {
        private final SettablePromise<Void> done = new SettablePromise<>();
        private double remainingBytes;

        private Transfer(long sizeBytes) {
            remainingBytes = sizeBytes;
        }
    }
}
