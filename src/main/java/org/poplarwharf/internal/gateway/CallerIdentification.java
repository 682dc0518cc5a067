package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Route;

/**
 * Identifies the callers of requests by the keys that the requests carry.
 *
 * <p>Invariant: a request without a key that the known plans hold does not run on a route that needs one. Confined to the
 * event loop.
 */
final class CallerIdentification {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final FleetView view;
    private final KeysInForce keysInForce;
    private final AccountSettings settings;

    CallerIdentification(FleetView view, KeysInForce keysInForce, AccountSettings settings) {
        this.view = view;
        this.keysInForce = keysInForce;
        this.settings = settings;
    }

    /** The caller of a request, or why the request is refused. */
    sealed interface Result {}

    /** The request may run for the caller. */
    record Identified(CallerIdentity caller) implements Result {}

    /** The request is refused. */
    record Rejected(FailureCode code, String reason, long retryAfterMillis) implements Result {}

    Result identify(FleetPlan plan, Route route, HttpHeaders headers, HeaderCodec headerCodec, long nowMillis) {
        if (plan.accounts().isEmpty()) {
            return new Identified(new CallerIdentity.Unmanaged());
        }
        AccountTable accounts = plan.accounts().get();
        Optional<ClientAccount> account = headerCodec
                .readKey(headers)
                .flatMap(key -> accounts.findByKey(key, digest -> keysInForce.isWithdrawn(digest, plan.version())));
        if (account.isEmpty() && route.isPublic()) {
            return new Identified(new CallerIdentity.Anonymous());
        }
        if (account.isEmpty()) {
            return rejectUnknown();
        }
        if (settings.strictRevocation() && view.planUnreachableMillis(nowMillis) > settings.revocationMillis()) {
            return new Rejected(FailureCode.NOT_READY, "keys may have been withdrawn", RETRY_AFTER_MILLIS);
        }
        return new Identified(new CallerIdentity.Known(account.get()));
    }

    /** Rejects a request without a known key; another node may know the key if this one can't read the latest plan. */
    private Rejected rejectUnknown() {
        return view.isPlanReachable()
                ? new Rejected(FailureCode.UNKNOWN_KEY, "no key of a client account", 0)
                : new Rejected(FailureCode.NOT_READY, "key may be newer than the plan", RETRY_AFTER_MILLIS);
    }
}
