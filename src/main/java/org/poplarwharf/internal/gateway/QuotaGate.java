package org.poplarwharf.internal.gateway;

import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.ClientAccount;

/** Admits the requests of client accounts within their quotas. Confined to the event loop. */
public interface QuotaGate {
    /**
     * Acquires what a request uses of its account's quota. Calls exactly one method of the callback, now or later,
     * unless the acquisition is cancelled first.
     *
     * @param units what the request uses
     * @param millisLeft how long the caller still waits
     */
    Acquisition acquire(ClientAccount account, double units, long millisLeft, Callback callback);

    /** Gives back what was acquired for a request that has not run. */
    void giveBack(ClientAccount account, double units);

    /** An acquisition that has not ended. */
    interface Acquisition {
        /** Ends the acquisition; has no effect once a callback was called. */
        void cancel();
    }

    /** Receives the result of an acquisition. */
    interface Callback {
        /** Called when the request may run. */
        void onAcquired();

        /** Called when the request is refused. The caller should retry after the given time. */
        void onRefused(FailureCode code, String reason, long retryAfterMillis);
    }
}
