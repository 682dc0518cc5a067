package org.poplarwharf.internal.holder;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.poplarwharf.internal.stream.StreamOrigin;

/** Origins of streams that this node could tell no other node yet; the newest ones. Confined to the event loop. */
final class UnsharedOrigins {
    private static final int MAX_COUNT = 1_000;

    private final Deque<StreamOrigin> origins = new ArrayDeque<>();

    void add(StreamOrigin origin) {
        origins.addLast(origin);
        if (origins.size() > MAX_COUNT) {
            origins.removeFirst();
        }
    }

    /** Removes and returns all origins. */
    List<StreamOrigin> takeAll() {
        List<StreamOrigin> taken = List.copyOf(origins);
        origins.clear();
        return taken;
    }
}
