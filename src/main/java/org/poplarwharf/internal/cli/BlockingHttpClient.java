package org.poplarwharf.internal.cli;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.response.VerifyingSocketInspector;

/**
 * Blocking HTTP client for commands. Each exchange runs on a separate event loop. Stateless and thread-safe.
 */
final class BlockingHttpClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private BlockingHttpClient() {}

    /**
     * An HTTP request.
     *
     * @param address host and port
     * @param body JSON body; no body is sent if it is empty
     */
    record Request(HttpMethod method, String address, String path, Map<String, String> headers, String body) {
        static Request get(String address, String path, Map<String, String> headers) {
            return new Request(HttpMethod.GET, address, path, headers, "");
        }
    }

    /** A complete response, with the times from the start of the request to its first and last byte. */
    record Response(int status, String body, long firstByteMillis, long totalMillis) {}

    /** Sends a request and returns its response; fails with {@code target-unreachable} if that is missing or cut off. */
    static Response exchange(Request request, Duration timeout) {
        Eventloop loop = Eventloop.create();
        CompletableFuture<Response> response = loop.submit(() -> send(loop, request, timeout));
        loop.run();
        try {
            return response.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.noResponse(request.address(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted(request.address(), e);
        }
    }

    private static Promise<Response> send(Eventloop loop, Request request, Duration timeout) throws IOException {
        HttpClient client = new VerifyingSocketInspector()
                .addTo(HttpClient.builder(loop, DnsClient.create(loop, InetAddress.getLoopbackAddress())))
                .withNoKeepAlive()
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(timeout)
                .build();
        HttpRequest.Builder builder =
                HttpRequest.builder(request.method(), "http://" + resolveHost(request.address()) + request.path());
        request.headers().forEach((name, value) -> builder.withHeader(HttpHeaders.of(name), value));
        if (!request.body().isEmpty()) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
            builder.withBody(request.body().getBytes(StandardCharsets.UTF_8));
        }
        ResponseReader reader = new ResponseReader();
        return client.request(builder.build()).then(reader::read);
    }

    /** Resolves the host of an address to an IP address, so that the HTTP client makes no DNS query. */
    private static String resolveHost(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return InetAddress.getByName(address.substring(0, colon)).getHostAddress() + address.substring(colon);
    }

    /** Reads one response and measures its times. Confined to the event loop of its exchange. */
    private static final class ResponseReader {
        private final MonotonicClock clock = MonotonicClock.system();
        private final long startMillis = clock.nowMillis();
        private final StringBuilder body = new StringBuilder();
        private long firstByteMillis = -1;

        Promise<Response> read(HttpResponse response) {
            return response.takeBodyStream()
                    .streamTo(ChannelConsumers.ofConsumer(this::append))
                    .map(ignored ->
                            new Response(response.getCode(), body.toString(), firstByteMillis, elapsedMillis()));
        }

        private void append(ByteBuf chunk) {
            if (firstByteMillis < 0) {
                firstByteMillis = elapsedMillis();
            }
            body.append(chunk.asString(StandardCharsets.UTF_8));
        }

        private long elapsedMillis() {
            return clock.nowMillis() - startMillis;
        }
    }
}
