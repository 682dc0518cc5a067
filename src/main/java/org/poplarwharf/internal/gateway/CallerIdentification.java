package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Route;

/** Identifies the caller of a request by the key that the request carries. Stateless and thread-safe. */
final class CallerIdentification {
    private CallerIdentification() {}

    /** Returns the caller; empty if the route needs a key and the request has none that belongs to an account. */
    static Optional<CallerIdentity> identify(
            FleetPlan plan, Route route, HttpHeaders headers, HeaderCodec headerCodec) {
        if (plan.accounts().isEmpty()) {
            return Optional.of(new CallerIdentity.Unmanaged());
        }
        Optional<ClientAccount> account =
                headerCodec.readKey(headers).flatMap(plan.accounts().get()::findByKey);
        if (account.isPresent()) {
            return account.map(CallerIdentity.Known::new);
        }
        return route.isPublic() ? Optional.of(new CallerIdentity.Anonymous()) : Optional.empty();
    }
}
