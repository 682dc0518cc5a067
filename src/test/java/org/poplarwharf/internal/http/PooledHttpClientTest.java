package org.poplarwharf.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Responses without a length, to calls over pooled connections. */
@Timeout(30)
class PooledHttpClientTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    /** Far more than the socket buffers between client and server hold. */
    private static final int LONG_BODY_BYTES = (4 << 20) - 1_000;

    /** Long enough for the client to read what the server has sent. */
    private static final long READ_MILLIS = 300;

    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PooledHttpClient client = new PooledHttpClient(group.next(), (peer, reason) -> {});
    private ScriptedTarget server;

    @BeforeEach
    void start() throws IOException {
        server = new ScriptedTarget("i-0");
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private PooledHttpClient.Call newCall(int bodyBytes) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        return new PooledHttpClient.Call(
                address, HttpMethod.POST, "/x", Map.of(), new byte[bodyBytes], TIMEOUT_MILLIS, Optional.empty());
    }

    private HttpCallResult call(int bodyBytes) throws Exception {
        CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
        group.next().execute(() -> client.send(newCall(bodyBytes), result::complete));
        return result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void response_without_length_that_ends_with_its_connection_is_complete() throws Exception {
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "whole");
            request.connection().close();
        };

        for (int i = 0; i < 3; i++) {
            assertThat(call(1))
                    .isInstanceOfSatisfying(
                            HttpCallResult.Response.class,
                            response -> assertThat(new String(response.body(), StandardCharsets.UTF_8))
                                    .isEqualTo("whole"));
        }
    }

    @Test
    void call_that_follows_a_response_without_length_at_once_uses_another_connection() throws Exception {
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "whole");
            request.connection().close();
        };
        CompletableFuture<HttpCallResult> second = new CompletableFuture<>();

        group.next().execute(() -> client.send(newCall(1), first -> client.send(newCall(1), second::complete)));

        assertThat(second.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpCallResult.Response.class);
    }

    @Test
    void response_without_length_whose_connection_is_reset_is_not_complete() throws Exception {
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "par");
            Thread.sleep(READ_MILLIS);
            request.resetConnection();
        };

        assertThat(call(1)).isInstanceOf(HttpCallResult.NoResponse.class);
    }

    @Test
    void response_without_length_whose_connection_is_reset_while_the_request_is_written_is_not_complete()
            throws Exception {
        server.leavesBodyUnread = true;
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "par");
            Thread.sleep(READ_MILLIS);
            request.resetConnection();
        };

        assertThat(call(LONG_BODY_BYTES)).isInstanceOf(HttpCallResult.NoResponse.class);
    }

    @Test
    void response_without_length_whose_connection_ends_and_is_reset_while_the_request_is_written_is_not_complete()
            throws Exception {
        server.leavesBodyUnread = true;
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "par");
            request.connection().shutdownOutput();
            Thread.sleep(READ_MILLIS);
            request.resetConnection();
        };

        assertThat(call(LONG_BODY_BYTES)).isInstanceOf(HttpCallResult.NoResponse.class);
    }

    @Test
    void response_without_length_that_ends_before_its_server_has_read_the_request_is_complete() throws Exception {
        server.leavesBodyUnread = true;
        server.script = (request, out) -> {
            ScriptedTarget.write(out, HEAD + "whole");
            request.connection().shutdownOutput();
            Thread.sleep(READ_MILLIS);
            request.connection().getInputStream().transferTo(OutputStream.nullOutputStream());
        };

        assertThat(call(LONG_BODY_BYTES)).isInstanceOf(HttpCallResult.Response.class);
    }
}
