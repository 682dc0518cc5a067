package org.poplarwharf.internal.kernel;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Determines the start order of roles: each starts after the roles whose services it uses. Roles drain and stop in the
 * reverse order.
 *
 * <p>Stateless and thread-safe.
 */
final class RoleOrder {
    /** Roles that start before the roles of other plug-ins. */
    private static final List<String> STARTED_FIRST =
            List.of("peers", "config", "admission", "cell-streams", "cells", "places", "claims");

    /** Roles that start after the roles of other plug-ins, so that those see all requests. */
    private static final List<String> STARTED_LAST = List.of("entry", "admin");

    private RoleOrder() {}

    /** Returns the names in start order. Other roles start in name order, before those that accept connections. */
    static List<String> sort(Collection<String> names) {
        List<String> sorted = new ArrayList<>(STARTED_FIRST);
        names.stream()
                .filter(name -> !STARTED_FIRST.contains(name) && !STARTED_LAST.contains(name))
                .sorted()
                .forEach(sorted::add);
        sorted.addAll(STARTED_LAST);
        sorted.retainAll(names);
        return sorted;
    }
}
