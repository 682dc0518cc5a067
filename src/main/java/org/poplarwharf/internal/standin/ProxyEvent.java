package org.poplarwharf.internal.standin;

/**
 * What the proxy did. Immutable and thread-safe.
 *
 * @param connection counts the connections of a link, from 1; 0 when the event concerns the link
 */
public record ProxyEvent(String link, Kind kind, long connection) {
    /** What happened. */
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
