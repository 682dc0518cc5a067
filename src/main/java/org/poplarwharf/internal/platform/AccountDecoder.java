package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.StreamSupport;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Quota;
import org.poplarwharf.internal.http.FieldText;

/**
 * Decodes the client accounts of the operator's configuration. Stateless and thread-safe.
 */
final class AccountDecoder {
    private static final String TENANTS = "tenants";
    private static final double DEFAULT_PLAIN_TOKENS = 1;

    /** A priority outside of the range would precede, or yield to, all requests whose priority comes from a route. */
    private static final int LOWEST_PRIORITY = 9;

    private AccountDecoder() {}

    /**
     * Decodes the accounts; empty if the configuration has none, so that requests need no key. Skips accounts without a name that
     * a header can carry to targets.
     */
    static Optional<AccountTable> decode(JsonNode configuration) {
        if (!configuration.path(TENANTS).isArray()) {
            return Optional.empty();
        }
        AccountTable.Builder accounts = new AccountTable.Builder();
        for (JsonNode tenant : JsonFields.getObjects(configuration, TENANTS)) {
            JsonFields.getString(tenant, "name")
                    .filter(name -> FieldText.encode(name).isPresent())
                    .ifPresent(name -> accounts.add(
                            new ClientAccount(name, decodePriority(tenant), decodeQuota(tenant)),
                            StreamSupport.stream(tenant.path("apiKeys").spliterator(), false)
                                    .filter(JsonNode::isTextual)
                                    .map(JsonNode::textValue)
                                    .filter(key -> !key.isEmpty())
                                    .toList()));
        }
        return Optional.of(accounts.build());
    }

    private static OptionalInt decodePriority(JsonNode tenant) {
        return tenant.path("priority").isIntegralNumber()
                ? OptionalInt.of(Math.clamp(tenant.path("priority").longValue(), 0, LOWEST_PRIORITY))
                : OptionalInt.empty();
    }

    private static Optional<Quota> decodeQuota(JsonNode tenant) {
        double perSecond = JsonFields.getDouble(tenant, "ratePerS", 0);
        if (perSecond <= 0) {
            return Optional.empty();
        }
        Quota.Unit unit = JsonFields.getString(tenant, "unit")
                .filter("tokens"::equals)
                .map(name -> Quota.Unit.TOKENS)
                .orElse(Quota.Unit.REQUESTS);
        return Optional.of(new Quota(
                unit,
                perSecond,
                Math.max(0, JsonFields.getDouble(tenant, "burst", 0)),
                Math.max(0, JsonFields.getDouble(tenant, "plainTokens", DEFAULT_PLAIN_TOKENS))));
    }
}
