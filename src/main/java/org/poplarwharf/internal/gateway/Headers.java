package org.poplarwharf.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.ProblemDocument;

/** What HTTP says of headers. Stateless and thread-safe. */
final class Headers {
    /** Headers that concern one connection only. */
    private static final List<String> HOP_BY_HOP = List.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MILLIS_PER_SECOND = 1_000;

    private Headers() {}

    /** Returns a copy without the headers that concern one connection only. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.strip());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /** Returns a caller's request as a target gets it; shares the body. */
    static FullHttpRequest forwarded(FullHttpRequest request, HeaderNames names, ForwardingTraits forwarding) {
        HttpHeaders headers = endToEnd(request.headers());
        names.forward(headers, forwarding);
        int length = request.content().readableBytes();
        if (length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.content().retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }

    /** Adds the headers of an answer of the node's own and returns its body. */
    static ByteBuf problem(HttpHeaders headers, FailureCode code, String reason, long retryAfterMillis) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
        if (retryAfterMillis > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        Map<String, Object> document = Map.of(
                "code",
                code.text(),
                "status",
                code.httpStatus(),
                "ran",
                code.ran().text(),
                "detail",
                reason);
        try {
            return Unpooled.wrappedBuffer(JSON.writeValueAsBytes(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a map of texts is always writable", e);
        }
    }
}
