package org.poplarwharf.internal.fleet;

import java.util.Map;

/**
 * The operator's configuration of routes, services and caller limits. Each version is complete and replaces the one
 * before. Immutable and thread-safe.
 */
public record FleetPlan(long version, RouteTable routes, Map<String, RoutedService> services, CallerLimits limits) {}
