package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.platform.PlatformHeaderCodec;

class ResponseRelayTest {
    private static final Target TARGET = new Target(
            "i-0",
            0,
            0,
            "desk",
            new InetSocketAddress("127.0.0.1", 1),
            "",
            0,
            false,
            OptionalLong.empty(),
            "",
            List.of(),
            Set.of(),
            Set.of());

    private final SinkWithoutMemory sink = new SinkWithoutMemory();

    @Test
    void refusal_for_which_there_is_no_memory_is_not_passed_on_before_it_is_judged() {
        ResponseRelay relay =
                new ResponseRelay(new PlatformHeaderCodec(), sink, requestNamed("r1"), RouteKind.ONCE, false);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        head.headers().set("X-Request-Id", "r1").set("X-Not-Executed", "1").set("X-Response-Seal", "s");
        relay.receiveHead(head, new Attempt("k", TARGET, Optional.empty(), 0, null), false);

        relay.addChunk(Unpooled.copiedBuffer("full", StandardCharsets.US_ASCII));

        assertThat(relay.verdict()).isEqualTo(ResponseRelay.Verdict.DECLINED);
        assertThat(sink.startedStatus).isZero();
    }

    private static RequestTraits requestNamed(String id) {
        return new RequestTraits(
                id,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
    }

    /** A caller's connection for whose responses the node has no memory. */
    private static final class SinkWithoutMemory implements ResponseSink {
        private int startedStatus;

        @Override
        public void sendProblem(String requestId, FailureCode code, String reason, long retryAfterMillis) {}

        @Override
        public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {}

        @Override
        public void startResponse(int status, HttpHeaders headers) {
            startedStatus = status;
        }

        @Override
        public void writeChunk(ByteBuf chunk) {}

        @Override
        public void flush() {}

        @Override
        public void endResponse() {}

        @Override
        public void abortResponse() {}

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean tryBuffer(int bytes) {
            return false;
        }
    }
}
