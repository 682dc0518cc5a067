package org.poplarwharf.internal.gateway;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the open connections of one address, so that descriptors are left for targets, the log and the other addresses.
 * Answers the load of crowds that connect and then say nothing.
 *
 * <p>Invariant: a connection is admitted only while there are fewer than the limit, or another one is closed for it: the one
 * that has been silent for longest and, where that is allowed, else the one whose last request is the oldest. Uses no
 * network and no clock. Confined to one thread.
 */
public final class ConnectionLimit<T> {
    private final int maxCount;
    private final boolean replacesActive;
    private final Set<T> silent = new LinkedHashSet<>();
    private final Set<T> active = new LinkedHashSet<>();

    /** @param replacesActive whether a connection that has brought requests may be closed for a new one */
    public ConnectionLimit(int maxCount, boolean replacesActive) {
        this.maxCount = maxCount;
        this.replacesActive = replacesActive;
    }

    /** The decision on a new connection. */
    public sealed interface Decision<T> {
        /** It is admitted; the other connection, if there is one, must be closed. */
        record Admitted<T>(Optional<T> replaced) implements Decision<T> {}

        /** It must be closed. */
        record Refused<T>() implements Decision<T> {}
    }

    public Decision<T> admit(T connection) {
        Optional<T> replaced = Optional.empty();
        if (count() >= maxCount) {
            replaced = takeFirst(silent).or(() -> replacesActive ? takeFirst(active) : Optional.empty());
            if (replaced.isEmpty()) {
                return new Decision.Refused<>();
            }
        }
        silent.add(connection);
        return new Decision.Admitted<>(replaced);
    }

    private static <T> Optional<T> takeFirst(Set<T> connections) {
        Iterator<T> iterator = connections.iterator();
        if (!iterator.hasNext()) {
            return Optional.empty();
        }
        T first = iterator.next();
        iterator.remove();
        return Optional.of(first);
    }

    /** Records that an admitted connection has brought a request. */
    public void recordRequest(T connection) {
        if (silent.remove(connection) || replacesActive && active.remove(connection)) {
            active.add(connection);
        }
    }

    public void remove(T connection) {
        silent.remove(connection);
        active.remove(connection);
    }

    int count() {
        return silent.size() + active.size();
    }
}
