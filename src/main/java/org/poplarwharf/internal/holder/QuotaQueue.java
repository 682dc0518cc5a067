package org.poplarwharf.internal.holder;

import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Quota;
import org.poplarwharf.internal.gateway.QuotaGate;

/**
 * The requests of one client account that wait at this node for units, those that use fewest first.
 *
 * <p>Load: short calls beside prompts that use fifty times as much. A call that can have its units at once does not wait for
 * those of a prompt; the prompts get what is left, which is nearly all.
 *
 * <p>Invariants: at most one request for units is under way. Refused requests are told to come back one after the other.
 * Confined to the event loop.
 */
final class QuotaQueue {
    /** A request waits for units rather than being refused, if its wait is short against the caller's time. */
    private static final double MAX_WAIT_RATIO = 0.15;

    private static final long MAX_WAIT_MILLIS = 300;

    /** A node asks for an account's units at most this often while there are none. */
    private static final long MIN_ASK_INTERVAL_MILLIS = 100;

    /** Callers are told to come back after at most this time. */
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;

    private final List<Waiting> waiting = new ArrayList<>();
    private final QuotaRecorder recorder;
    private ClientAccount account;
    private long askNumber;
    private boolean asking;
    private long askedMillis;
    private long retryMillis;

    /** The units of the request that the holder has refused last; smaller ones may have their units before. */
    private double refusedUnits;

    /** The time at which the last refused request was told to come back, plus the time in which its units accrue. */
    private double promisedMillis;

    /** A request that waits. */
    static final class Waiting implements QuotaGate.Acquisition {
        private final double units;
        private final long arrivedMillis;
        private final long maxWaitMillis;
        private final QuotaGate.Callback callback;
        private boolean cancelled;

        Waiting(double units, long arrivedMillis, long millisLeft, QuotaGate.Callback callback) {
            this.units = units;
            this.arrivedMillis = arrivedMillis;
            this.maxWaitMillis = Math.min(MAX_WAIT_MILLIS, Math.round(millisLeft * MAX_WAIT_RATIO));
            this.callback = callback;
        }

        double units() {
            return units;
        }

        long waitedMillis(long nowMillis) {
            return nowMillis - arrivedMillis;
        }

        /** Lets the request run. */
        void admit() {
            callback.onAcquired();
        }

        /** Refuses the request, unless it was cancelled. */
        void refuse(FailureCode code, String reason, long retryAfterMillis) {
            if (!cancelled) {
                callback.onRefused(code, reason, retryAfterMillis);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    QuotaQueue(ClientAccount account, QuotaRecorder recorder) {
        this.account = account;
        this.recorder = recorder;
    }

    ClientAccount account() {
        return account;
    }

    /** Replaces the account by a later state of it, with its present quota. */
    void setAccount(ClientAccount latest) {
        account = latest;
    }

    Quota quota() {
        return account.quota().orElseThrow();
    }

    /** Adds a request; refuses it if units are available too late for it. */
    void add(Waiting request, long nowMillis) {
        int position = waiting.size();
        while (position > 0 && waiting.get(position - 1).units() > request.units()) {
            position--;
        }
        waiting.add(position, request);
        if (retryMillis > nowMillis && waiting.get(0).units() >= refusedUnits) {
            refuseLate(Math.max(retryMillis, Math.round(promisedMillis)) - nowMillis, nowMillis);
        }
    }

    /** Returns whether no request waits, apart from cancelled ones. */
    boolean isEmpty() {
        waiting.removeIf(request -> request.cancelled);
        return waiting.isEmpty();
    }

    /** Returns whether nothing is left to be known of this queue. */
    boolean isDisposable(long nowMillis) {
        return isEmpty() && !asking && promisedMillis <= nowMillis;
    }

    /** Returns the request that uses fewest units. */
    Waiting first() {
        return waiting.get(0);
    }

    Waiting takeFirst() {
        return waiting.remove(0);
    }

    /** Removes and returns the requests that have waited longer than the given time. */
    List<Waiting> takeOverdue(long maxMillis, long nowMillis) {
        List<Waiting> overdue = waiting.stream()
                .filter(request -> request.waitedMillis(nowMillis) > maxMillis)
                .toList();
        waiting.removeAll(overdue);
        return overdue;
    }

    double waitingUnits() {
        return waiting.stream().mapToDouble(Waiting::units).sum();
    }

    /** Returns whether the holder may be asked for the first request now. */
    boolean mayAsk(long nowMillis) {
        return !asking && (nowMillis >= retryMillis || first().units() < refusedUnits);
    }

    /** Records that the holder is asked, and returns the number of the request for units. */
    long recordAsked(long nowMillis) {
        asking = true;
        askedMillis = nowMillis;
        askNumber++;
        return askNumber;
    }

    /** Records the response to a request for units; one to an earlier request changes nothing. */
    void recordResponse(long number) {
        asking &= number != askNumber;
    }

    /** Forgets a request for units to which no response comes. */
    void forgetAsk() {
        asking = false;
    }

    /** Returns how long a request for units has had no response; zero if none is under way. */
    long unansweredMillis(long nowMillis) {
        return asking ? nowMillis - askedMillis : 0;
    }

    /**
     * Records that the holder has no units for the first request, and refuses the requests that can't have units soon.
     *
     * @param availableMillis when the holder may be asked again
     * @param retryAfterMillis when the first request can have units, behind those that were refused before
     */
    void recordExhausted(long availableMillis, long retryAfterMillis, long nowMillis) {
        retryMillis = nowMillis + Math.max(MIN_ASK_INTERVAL_MILLIS, availableMillis);
        refusedUnits = waiting.isEmpty() ? 0 : waiting.get(0).units();
        refuseLate(retryAfterMillis, nowMillis);
    }

    /** Refuses the requests that wait too long. Each is told to come back behind those before it. */
    private void refuseLate(long retryAfterMillis, long nowMillis) {
        double unitsPerMilli = quota().perSecond() / 1_000;
        double dueMillis = Math.max(nowMillis + retryAfterMillis, promisedMillis);
        List<Runnable> refusals = new ArrayList<>();
        List<Waiting> kept = new ArrayList<>();
        for (Waiting request : waiting) {
            if (request.cancelled) {
                continue;
            }
            long readyMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.round(dueMillis - nowMillis));
            dueMillis += request.units() / unitsPerMilli;
            if (request.waitedMillis(nowMillis) + readyMillis <= request.maxWaitMillis) {
                kept.add(request);
            } else {
                refusals.add(() -> {
                    recorder.recordRefused(account.name(), nowMillis);
                    request.refuse(FailureCode.QUOTA_EXCEEDED, "account over its quota", readyMillis);
                });
            }
        }
        if (!refusals.isEmpty()) {
            promisedMillis = Math.min(dueMillis, nowMillis + MAX_RETRY_AFTER_MILLIS);
        }
        waiting.clear();
        waiting.addAll(kept);
        refusals.forEach(Runnable::run);
    }
}
