package org.poplarwharf.internal.response;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.net.socket.tcp.TcpSocket;
import org.poplarwharf.FailureCode;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Verifies what the sockets of an ActiveJ HTTP client read, before the client decodes it. An inspector is the only part of the
 * client that sees bytes before the decoder, and it gets the buffer that the decoder reads.
 *
 * <p>Invariants: the decoder gets verified bytes of final responses only. Bytes that are no response close their socket with a
 * {@link BrokenResponseException}, which is logged. Bytes behind a response are dropped. A request is expected to have been
 * written before its response begins.
 *
 * <p>ActiveJ takes a transfer coding for none if blanks or further lines follow it, and would pass on chunks as the body. Such
 * a response, though lawful, is refused as broken. So is one that is delimited by the end of its connection, if that ends while
 * the request is still written: a server may end it so and go on reading, but the client can't be made to wait for a reset. May
 * serve several sockets of one client; confined to its reactor thread.
 */
public class VerifyingSocketInspector extends TcpSocket.JmxInspector {
    private boolean isHeadRequest;

    /** The request and the response that a socket carries. */
    private static final class Exchange {
        private final ResponseVerifier verifier = new ResponseVerifier();
        private boolean hasUnwrittenBytes;
    }

    /** Adds the inspector to a client. This version of the client uses the TLS inspector for plain sockets and vice versa. */
    public HttpClient.Builder addTo(HttpClient.Builder client) {
        return client.withSocketInspector(this).withSocketSslInspector(this);
    }

    /** Sets whether requests from now on have the method {@code HEAD}, whose responses have no body. */
    protected final void setHeadRequest(boolean isHead) {
        isHeadRequest = isHead;
    }

    /** Called when bytes have arrived that belong to no request. Such a socket should carry no further one. */
    protected void onSurplusBytes() {}

    @Override
    public void onConnect(TcpSocket socket) {
        super.onConnect(socket);
        socket.setUserData(new Exchange());
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
        super.onWrite(socket, buf, bytes);
        Exchange exchange = exchangeOf(socket);
        exchange.verifier.expectResponse(isHeadRequest);
        exchange.hasUnwrittenBytes = bytes < buf.readRemaining();
    }

    @Override
    public void onReadEndOfStream(TcpSocket socket) {
        super.onReadEndOfStream(socket);
        Exchange exchange = exchangeOf(socket);
        if (exchange.hasUnwrittenBytes && exchange.verifier.isDelimitedByConnectionEnd()) {
            close(socket, new BrokenResponseException("connection ended while the request was written"));
        }
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
        super.onRead(socket, buf);
        if (!buf.canRead()) {
            return;
        }
        ResponseVerifier verifier = exchangeOf(socket).verifier;
        if (verifier.isComplete()) {
            onSurplusBytes();
            buf.tail(buf.head());
            return;
        }
        ResponseVerifier.Result result = verifier.verify(buf.toReadByteBuffer());
        if (result.failure().isPresent()) {
            close(socket, result.failure().get());
            return;
        }
        if (verifier.hasPaddedTransferCoding()) {
            close(socket, new BrokenResponseException("transfer coding with blanks or further lines after it"));
            return;
        }
        if (result.end() < buf.readRemaining()) {
            onSurplusBytes();
        }
        // The decoder reads this buffer, and what is cut off here never reaches it.
        int readStart = buf.head();
        buf.tail(readStart + result.end());
        buf.head(readStart + result.start());
    }

    private static Exchange exchangeOf(TcpSocket socket) {
        return (Exchange) socket.getUserData();
    }

    private static void close(TcpSocket socket, BrokenResponseException failure) {
        ThreadContext.put("code", FailureCode.OUTCOME_UNKNOWN.text());
        ThreadContext.put("subject", String.valueOf(socket.getRemoteAddress()));
        try {
            Logger.warn(failure, "broken-response");
        } finally {
            ThreadContext.remove("code");
            ThreadContext.remove("subject");
        }
        socket.closeEx(failure);
    }
}
