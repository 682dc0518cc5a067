package org.poplarwharf.internal.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Decodes the responses of a connection that carries one request at a time. Netty's client codec does not tell whether
 * bytes are left after a response; it would take them for the beginning of the next one. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private HttpMethod method = HttpMethod.GET;
    private boolean expectsResponse;
    private boolean surplus;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Expects the response to a request; its method determines whether the response has a body. */
    void expectResponse(HttpMethod requestMethod) {
        method = requestMethod;
        expectsResponse = true;
    }

    /** Takes all bytes that follow the response, up to the next request, for surplus ones. */
    void endResponse() {
        expectsResponse = false;
        surplus |= actualReadableBytes() > 0;
    }

    /** Returns whether bytes have arrived that belong to no request. */
    boolean hasSurplusBytes() {
        return surplus;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        surplus |= !expectsResponse;
        super.channelRead(context, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean isTunnel = HttpMethod.CONNECT.equals(method)
                && message instanceof HttpResponse response
                && HttpResponseStatus.OK.equals(response.status());
        return HttpMethod.HEAD.equals(method) || isTunnel || super.isContentAlwaysEmpty(message);
    }
}
