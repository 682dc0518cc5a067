package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes what a target sends on a connection that carries one request. Called on the event loop.
 */
public interface AnswerListener {
    /** The connection is open and the request is being written: from here on the target may run it. */
    void sent();

    /** The head of an answer came; on a connection with a stray answer, more than one may come. */
    void head(HttpResponse head);

    /** A piece of the body came; the listener must not keep it beyond the call. */
    void content(ByteBuf piece);

    /**
     * An answer is complete.
     *
     * @return whether it was the one awaited; the connection is then given back and the listener hears no more
     */
    boolean complete();

    /** The connection could not be opened; the request was not sent. The listener hears no more. */
    void notSent(String reason);

    /** The connection ended, or what came on it is no answer. The listener hears no more. */
    void broken(String reason);

    /** All that was read has been given; a good moment to flush. */
    void pieceDone();
}
