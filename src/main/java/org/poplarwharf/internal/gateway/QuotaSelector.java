package org.poplarwharf.internal.gateway;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Target;

/**
 * Selects targets for one request of a client account with a quota.
 *
 * <p>Invariant: what the request uses is acquired once, before the first search for a target; further attempts of the
 * request use nothing more. What a request has not used is given back, unless that is so late that the account
 * could use more than its quota within a window. Confined to the event loop.
 */
final class QuotaSelector implements TargetSelector {
    /** Short against the windows over which use is counted. */
    private static final long MAX_GIVE_BACK_MILLIS = 1_000;

    private final TargetSelector targets;
    private final QuotaGate gate;
    private final ClientAccount account;
    private final double units;
    private final LongSupplier millisLeft;
    private boolean acquired;
    private long acquiredMillisLeft;
    private Optional<PendingSearch> pending = Optional.empty();

    /** A search that waits for the quota. */
    private final class PendingSearch implements QuotaGate.Callback {
        private final DispatchRequest request;
        private final Callback callback;
        private Optional<QuotaGate.Acquisition> acquisition = Optional.empty();

        PendingSearch(DispatchRequest request, Callback callback) {
            this.request = request;
            this.callback = callback;
        }

        @Override
        public void onAcquired() {
            pending = Optional.empty();
            acquired = true;
            acquiredMillisLeft = millisLeft.getAsLong();
            targets.select(request, callback);
        }

        @Override
        public void onRefused(FailureCode code, String reason, long retryAfterMillis) {
            pending = Optional.empty();
            callback.onRefused(code, reason, retryAfterMillis);
        }
    }

    QuotaSelector(
            TargetSelector targets, QuotaGate gate, ClientAccount account, double units, LongSupplier millisLeft) {
        this.targets = targets;
        this.gate = gate;
        this.account = account;
        this.units = units;
        this.millisLeft = millisLeft;
    }

    @Override
    public void select(DispatchRequest request, Callback callback) {
        if (acquired) {
            targets.select(request, callback);
            return;
        }
        PendingSearch search = new PendingSearch(request, callback);
        pending = Optional.of(search);
        search.acquisition = Optional.of(gate.acquire(account, units, millisLeft.getAsLong(), search));
    }

    @Override
    public void cancel(String key) {
        Optional<PendingSearch> waiting =
                pending.filter(search -> search.request.key().equals(key));
        if (waiting.isPresent()) {
            pending = Optional.empty();
            waiting.get().acquisition.ifPresent(QuotaGate.Acquisition::cancel);
        }
        targets.cancel(key);
    }

    @Override
    public void reportOutcome(String key, RunOutcome outcome) {
        targets.reportOutcome(key, outcome);
    }

    @Override
    public void reportEnd(String key, boolean successful) {
        targets.reportEnd(key, successful);
    }

    @Override
    public void reportRequestEnd(boolean mayHaveRun) {
        boolean isRecent = acquiredMillisLeft - millisLeft.getAsLong() <= MAX_GIVE_BACK_MILLIS;
        if (acquired && !mayHaveRun && isRecent) {
            gate.giveBack(account, units);
        }
    }

    @Override
    public void reportLeaving(Target target) {
        targets.reportLeaving(target);
    }

    @Override
    public void reportLimit(String targetId, double requestsPerSecond) {
        targets.reportLimit(targetId, requestsPerSecond);
    }
}
