package org.poplarwharf.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one whose path prefix is the longest match.
 *
 * <p>Immutable and thread-safe.
 */
public final class RouteTable {
    /** Lower-case host to its routes, with the longest path prefix first. */
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    private final int size;

    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), key -> new ArrayList<>())
                    .add(route);
        }
        routesByHost
                .values()
                .forEach(hostRoutes -> hostRoutes.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
        size = routes.size();
    }

    /** Returns the route for a host and a request target. The port of the host and the query are ignored. */
    public Optional<Route> find(String host, String requestTarget) {
        int portSeparator = host.indexOf(':');
        String hostName = (portSeparator < 0 ? host : host.substring(0, portSeparator)).toLowerCase(Locale.ROOT);
        int queryStart = requestTarget.indexOf('?');
        String path = queryStart < 0 ? requestTarget : requestTarget.substring(0, queryStart);
        for (Route route : routesByHost.getOrDefault(hostName, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    public int size() {
        return size;
    }
}
