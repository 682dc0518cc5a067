package org.poplarwharf.internal.standin;

/**
 * A journalled event of the proxy. Immutable and thread-safe.
 *
 * @param connection number of the connection on its link, from 1; 0 if the event concerns the whole link
 */
public record ProxyEvent(String link, Kind kind, long connection) {
    /** The kind of event. */
    public enum Kind {
        OPENED,
        CLOSED,
        UPSTREAM_REFUSED,
        FAULTS_SET,
        RESET,
        SILENCED,
        FROZEN,
        THAWED
    }
}
