package org.poplarwharf.internal.log;

import java.util.Locale;

/**
 * The names of the events that a stream logs. The meaning of a name must not change, since log readers match it.
 * Immutable and thread-safe.
 */
enum StreamEvent {
    STREAM_CAUGHT_UP,
    STREAM_GAP,
    STREAM_GAP_CLOSED,
    STREAM_WENT_BACK,
    STREAM_UNREADABLE,
    STREAM_READABLE,
    STREAM_RECORD_SKIPPED,
    STREAM_APPEND_REJECTED,
    STREAM_WRITER_SUPERSEDED,
    STREAM_LISTENER_FAILED;

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
