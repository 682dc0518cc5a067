package org.poplarwharf.internal.fleet;

import java.util.Map;

/** The operator's configuration of routes and services, always whole. Immutable and thread-safe. */
public record FleetPlan(long version, RouteTable routes, Map<String, ServiceSpec> services, CallerLimits limits) {}
