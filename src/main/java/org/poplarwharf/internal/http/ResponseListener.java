package org.poplarwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request on a connection to a target. Called on the event loop.
 */
public interface ResponseListener {
    /**
     * Called when the connection is open and the request is about to be written. From then on the target may run it.
     */
    void onSending();

    /**
     * Called with the head of a response. Called more than once if the connection carries a response to another
     * request.
     */
    void onHead(HttpResponse head);

    /** Called with a chunk of the body. The listener must not retain it beyond the call. */
    void onContent(ByteBuf chunk);

    /**
     * Called when a response is complete.
     *
     * @return whether it was the expected response; if so, the connection is released and there are no further calls
     */
    boolean onComplete();

    /** Called when the connection could not be opened, so that the request was not sent. No further calls follow. */
    void onNotSent(String reason);

    /** Called when the connection ended early or carried an invalid response. No further calls follow. */
    void onBroken(String reason);

    /** Called after all data of one read was delivered, which is the time to flush. */
    void onReadComplete();
}
