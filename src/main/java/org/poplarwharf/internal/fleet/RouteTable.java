package org.poplarwharf.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among those of its host, the one with the longest prefix of its path.
 *
 * <p>Immutable and thread-safe.
 */
public final class RouteTable {
    private final Map<String, List<Route>> longestFirstByHost = new HashMap<>();
    private final int size;

    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            longestFirstByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        longestFirstByHost
                .values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
        size = routes.size();
    }

    /** Returns the route for a host, with or without a port, and a request target, with or without a query. */
    public Optional<Route> find(String host, String requestTarget) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = requestTarget.indexOf('?');
        String path = query < 0 ? requestTarget : requestTarget.substring(0, query);
        for (Route route : longestFirstByHost.getOrDefault(name, List.of())) {
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
