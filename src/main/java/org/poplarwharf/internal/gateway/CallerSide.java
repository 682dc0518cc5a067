package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Where an exchange's one answer goes. Confined to the event loop. */
interface CallerSide {
    /** Gives a whole answer; takes the body over. */
    void answer(int status, HttpHeaders headers, ByteBuf body);

    /** Begins an answer whose pieces follow. */
    void begin(int status, HttpHeaders headers);

    /** Gives a piece of an answer that has begun; takes it over. */
    void piece(ByteBuf piece);

    /** Writes out what has been given. */
    void flush();

    /** Ends an answer that has begun as complete. */
    void end();

    /** Ends an answer that has begun so that it can't look complete. */
    void abort();

    /** Tells whether the caller takes what it is given. */
    boolean writable();
}
