package org.poplarwharf.internal.fleet;

import java.util.Map;
import java.util.Optional;

/**
 * The operator's configuration of routes, services and caller limits. Each version is complete and replaces the one
 * before. Immutable and thread-safe.
 *
 * @param accounts the client accounts whose keys requests must carry; empty if requests need no key
 */
public record FleetPlan(
        long version,
        RouteTable routes,
        Map<String, RoutedService> services,
        CallerLimits limits,
        Optional<AccountTable> accounts) {}
