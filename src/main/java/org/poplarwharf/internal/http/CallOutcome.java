package org.poplarwharf.internal.http;

import io.netty.handler.codec.http.HttpHeaders;

/** How a call ended. Immutable and thread-safe. */
public sealed interface CallOutcome {
    /** The whole answer came. */
    record Answered(int status, HttpHeaders headers, byte[] body) implements CallOutcome {}

    /** No connection could be opened, so the other side never saw the call. */
    record NotSent(String reason) implements CallOutcome {}

    /** The call went out and no whole answer came; it may have had its effect. */
    record Unanswered(String reason) implements CallOutcome {}
}
