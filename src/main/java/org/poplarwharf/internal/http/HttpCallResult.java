package org.poplarwharf.internal.http;

import io.netty.handler.codec.http.HttpHeaders;

/** The result of an HTTP call. Immutable and thread-safe. */
public sealed interface HttpCallResult {
    /** A complete response was received. */
    record Response(int status, HttpHeaders headers, byte[] body) implements HttpCallResult {}

    /** No connection could be opened, so the peer never received the request. */
    record NotSent(String reason) implements HttpCallResult {}

    /** The request was sent and no complete response was received. The call may have taken effect. */
    record NoResponse(String reason) implements HttpCallResult {}
}
