package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;

/**
 * The current configuration and the readiness of the node, for use on the traffic threads.
 *
 * <p>Written by the control thread and read by all threads. Thread-safe.
 */
final class CurrentConfig {
    private static final long READINESS_POLL_INTERVAL_MILLIS = 50;

    private final Eventloop control;
    private final ConfigView view;
    private volatile FleetConfig current = FleetConfig.EMPTY;
    private volatile boolean isReady;

    CurrentConfig(Eventloop control, ConfigView view) {
        this.control = control;
        this.view = view;
    }

    /** Starts to follow the view. Must be called on the control thread. */
    void follow() {
        view.onChange(config -> current = config);
        updateReadiness();
    }

    FleetConfig current() {
        return current;
    }

    boolean isReady() {
        return isReady;
    }

    private void updateReadiness() {
        isReady = view.isReady();
        if (!isReady) {
            control.delayBackground(READINESS_POLL_INTERVAL_MILLIS, this::updateReadiness);
        }
    }
}
