package org.poplarwharf.internal.kernel;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The order in which roles start: each after those that it looks up. They drain and stop in reverse.
 *
 * <p>Stateless and thread-safe.
 */
final class RoleOrder {
    /** The names before which roles of other plug-ins start; entry comes after them, so that they see all requests. */
    private static final List<String> FIRST =
            List.of("peers", "config", "admission", "cell-streams", "cells", "places", "claims");

    private static final List<String> LAST = List.of("entry", "admin");

    private RoleOrder() {}

    /** Returns the names in starting order; unknown ones go in name order before the roles that take connections. */
    static List<String> sort(Collection<String> names) {
        List<String> sorted = new ArrayList<>(FIRST);
        names.stream()
                .filter(name -> !FIRST.contains(name) && !LAST.contains(name))
                .sorted()
                .forEach(sorted::add);
        sorted.addAll(LAST);
        sorted.retainAll(names);
        return sorted;
    }
}
