package org.poplarwharf.internal.gateway;

import java.util.Optional;
import org.poplarwharf.internal.fleet.ClientAccount;

/** Whose request it is, according to the plan in force when it arrived. Immutable and thread-safe. */
public sealed interface CallerIdentity {
    /** The plan has no client accounts. What the caller states of itself is passed on unchanged. */
    record Unmanaged() implements CallerIdentity {}

    /** The route needs no key, and the request has none that belongs to an account. */
    record Anonymous() implements CallerIdentity {}

    /** The request carries a key of the account. */
    record Known(ClientAccount account) implements CallerIdentity {}

    /** Returns the account, if one is known. */
    default Optional<ClientAccount> knownAccount() {
        return switch (this) {
            case Unmanaged unmanaged -> Optional.empty();
            case Anonymous anonymous -> Optional.empty();
            case Known known -> Optional.of(known.account());
        };
    }
}
