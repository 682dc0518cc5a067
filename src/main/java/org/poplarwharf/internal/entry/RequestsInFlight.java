package org.poplarwharf.internal.entry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The requests of one traffic thread whose responses are not complete.
 *
 * <p>Confined to that thread.
 */
final class RequestsInFlight {
    private final Set<InFlight> requests = new LinkedHashSet<>();

    /** A request whose response is not complete. */
    interface InFlight {
        /** Refuses the request if it has not begun and may not be complete before the node ends. */
        void onDrain();

        /** Ends the request: its caller gets a failure, or the end of its incomplete stream. */
        void onStop();
    }

    void add(InFlight request) {
        requests.add(request);
    }

    void remove(InFlight request) {
        requests.remove(request);
    }

    void drain() {
        forEach(InFlight::onDrain);
    }

    void stop() {
        forEach(InFlight::onStop);
    }

    private void forEach(Consumer<InFlight> action) {
        List.copyOf(requests).forEach(action);
    }
}
