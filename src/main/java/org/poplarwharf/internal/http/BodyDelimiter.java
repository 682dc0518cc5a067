package org.poplarwharf.internal.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** What marks the end of a response's body. Immutable and thread-safe. */
public enum BodyDelimiter {
    /** The head states the length of the body, or its status has none. */
    LENGTH("length"),
    /** The body is sent in chunks, of which the last is empty. */
    CHUNKS("chunks"),
    /** The body ends with its connection. */
    CONNECTION_END("connection-end");

    private final String text;

    BodyDelimiter(String text) {
        this.text = text;
    }

    /** Returns the delimiter that the head of a response announces. */
    public static BodyDelimiter of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKS;
        }
        boolean hasNoBody = HttpResponseStatus.NO_CONTENT.equals(head.status())
                || HttpResponseStatus.NOT_MODIFIED.equals(head.status());
        return hasNoBody || HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_END;
    }

    /** Returns the name used in logs and metrics. */
    public String text() {
        return text;
    }
}
