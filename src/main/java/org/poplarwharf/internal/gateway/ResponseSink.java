package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.poplarwharf.FailureCode;

/** Receives the single response of an exchange. Confined to the event loop. */
interface ResponseSink {
    /** Sends a complete response. Takes ownership of the body. */
    void sendResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Sends a response that the node itself produces; without a time after which to retry if that time is zero. */
    void sendProblem(String requestId, FailureCode code, String reason, long retryAfterMillis);

    /** Starts a response whose body follows in chunks. */
    void startResponse(int status, HttpHeaders headers);

    /** Writes a chunk of a started response. Takes ownership of the chunk. */
    void writeChunk(ByteBuf chunk);

    /** Flushes written chunks. */
    void flush();

    /** Completes a started response. */
    void endResponse();

    /** Aborts a started response, so that the caller cannot take it for complete. */
    void abortResponse();

    /** Returns whether the caller keeps up with reading the response. */
    boolean isWritable();

    /** Returns whether more of a response may be buffered. Otherwise it should be forwarded as it arrives. */
    default boolean tryBuffer(int bytes) {
        return true;
    }
}
