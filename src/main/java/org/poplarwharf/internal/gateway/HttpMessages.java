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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.ProblemDocument;
import org.poplarwharf.internal.fleet.Target;

/** Builds forwarded requests and problem responses by the rules of HTTP proxies. Stateless and thread-safe. */
final class HttpMessages {
    /** Headers that apply to a single connection and must not be forwarded. */
    private static final List<String> HOP_BY_HOP_HEADERS = List.of(
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

    /** Those that hold most are closed at once, so that there is room again soon. */
    private static final String SHORTAGE_RETRY_AFTER_SECONDS = "0.500";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MILLIS_PER_SECOND = 1_000;

    private HttpMessages() {}

    /** Returns a copy without the headers that apply to a single connection. Values that are set in it are validated. */
    static HttpHeaders copyEndToEnd(HttpHeaders headers) {
        // HttpHeaders.copy() drops the validation of values.
        HttpHeaders copy = new DefaultHttpHeaders().add(headers);
        for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : connectionOptions.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.strip());
                }
            }
        }
        HOP_BY_HOP_HEADERS.forEach(copy::remove);
        return copy;
    }

    /** Returns a caller's request as it is sent to a target, or to another node. Shares the body. */
    static FullHttpRequest forTarget(
            FullHttpRequest request, HeaderCodec headerCodec, Target target, ForwardingTraits forwarding) {
        HttpHeaders headers = copyEndToEnd(request.headers());
        if (target.isNode()) {
            headerCodec.rewriteForNode(headers, forwarding);
        } else {
            headerCodec.rewriteForTarget(headers, forwarding);
        }
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

    /** Returns the headers of the response to a request that could not be read. */
    static HttpHeaders headersOfInvalid(int status) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, SHORTAGE_RETRY_AFTER_SECONDS);
        }
        return headers;
    }

    /** Adds the headers of a problem response that the node itself produces and returns the body. */
    static ByteBuf writeProblem(HttpHeaders headers, FailureCode code, String reason, long retryAfterMillis) {
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
            throw new IllegalStateException("cannot serialize the problem document", e);
        }
    }
}
