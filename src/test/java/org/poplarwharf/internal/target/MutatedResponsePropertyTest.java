package org.poplarwharf.internal.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.statistics.Statistics;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.http.HttpCallResult;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.support.MutatedResponses;
import org.poplarwharf.support.ReactorThread;

/**
 * Guards against responses that a node's client and a gateway's delimit in different ways: one of them would take a part of a
 * response for the whole, or its framing for its body.
 */
class MutatedResponsePropertyTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final ReactorThread NODE = new ReactorThread();
    private static final EventLoopGroup GATEWAY = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterContainer
    static void stop() {
        NODE.close();
        GATEWAY.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private record Received(int status, String body) {}

    @Provide
    Arbitrary<String> mutatedResponses() {
        return MutatedResponses.arbitrary();
    }

    @Property(tries = 500)
    void node_and_gateway_read_the_same_response_or_one_of_them_none(@ForAll("mutatedResponses") String response)
            throws Exception {
        byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
        try (RawHttpTarget target = new RawHttpTarget((n, head, out) -> {
            out.write(bytes);
            return false;
        })) {
            Optional<Received> atNode = receiveAtNode(target);
            Optional<Received> atGateway = receiveAtGateway(target);

            if (atNode.isPresent() && atGateway.isPresent()) {
                assertThat(atNode).isEqualTo(atGateway);
            }
            Statistics.collect(atNode.isPresent(), atGateway.isPresent());
            Statistics.coverage(coverage -> coverage.check(true, true).percentage(share -> share > 10));
        }
    }

    private static Optional<Received> receiveAtNode(RawHttpTarget target) {
        return NODE.await(() -> {
            AbortableConnection connection = new AbortableConnectionPool(NODE.reactor(), TIMEOUT_MILLIS)
                    .openSingleUse(target.address(), TIMEOUT_MILLIS);
            HttpRequest request =
                    HttpRequest.get("http://" + target.address() + "/x").build();
            return connection
                    .exchange(request)
                    .then(response -> BoundedBodyReader.read(
                                    response.takeBodyStream(),
                                    MAX_BODY_BYTES,
                                    connection::withProgressTimeout,
                                    () -> CallerReporter.targetFailed("t", null))
                            .map(body -> Optional.of(
                                    new Received(response.getCode(), new String(body, StandardCharsets.ISO_8859_1)))))
                    .then((received, e) -> Promise.of(e == null ? received : Optional.empty()));
        });
    }

    private static Optional<Received> receiveAtGateway(RawHttpTarget target) throws Exception {
        EventLoop loop = GATEWAY.next();
        int port = Integer.parseInt(target.address().substring(target.address().indexOf(':') + 1));
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                HttpMethod.GET,
                "/x",
                Map.of(),
                new byte[0],
                TIMEOUT_MILLIS,
                Optional.empty());
        CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
        loop.execute(() -> new PooledHttpClient(loop, (peer, reason) -> {}).send(call, result::complete));
        return switch (result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            case HttpCallResult.Response response ->
                Optional.of(new Received(response.status(), new String(response.body(), StandardCharsets.ISO_8859_1)));
            case HttpCallResult.NotSent notSent -> throw new IOException(notSent.reason());
            case HttpCallResult.NoResponse noResponse -> Optional.empty();
        };
    }
}
