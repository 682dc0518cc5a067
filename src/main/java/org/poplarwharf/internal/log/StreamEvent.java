package org.poplarwharf.internal.log;

import java.util.Locale;

/** The names of logged events of a stream. Invariant: a name keeps its meaning. Immutable and thread-safe. */
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
