package org.poplarwharf.internal.kernel;

import java.util.Locale;

/**
 * The events that a node logs. Invariant: a published event name never changes its meaning. Immutable and thread-safe.
 */
public enum NodeLogEvent {
    NODE_STARTED(Level.INFO),
    NODE_FAILED(Level.ERROR),
    NODE_DRAINING(Level.INFO),
    NODE_DRAINED(Level.INFO),
    NODE_STOPPED(Level.INFO),
    ROLE_STARTED(Level.INFO),
    ROLE_DRAIN_FAILED(Level.WARN),
    ROLE_STOP_FAILED(Level.WARN),
    UNEXPECTED_EXCEPTION(Level.ERROR),
    ADMIN_REFUSED(Level.WARN),
    ADMIN_CHANGE(Level.INFO),
    REQUEST_REFUSED(Level.DEBUG),
    REQUEST_FAILED(Level.WARN),
    LEASE_TAKEN(Level.INFO),
    LEASE_LOST(Level.WARN),
    LEASE_RELEASED(Level.INFO),
    LOAD_ORDERED(Level.INFO),
    UNLOAD_ORDERED(Level.INFO),
    LOAD_CONFIRMED(Level.INFO),
    TARGET_DIED(Level.WARN),
    CONFIG_IN_FORCE(Level.INFO),
    PEER_MALFORMED_FRAME(Level.WARN);

    /** The severity at which an event is logged. */
    enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    private final Level level;

    NodeLogEvent(Level level) {
        this.level = level;
    }

    Level level() {
        return level;
    }

    /** Returns the name that is written to the log, for example {@code node-started}. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
