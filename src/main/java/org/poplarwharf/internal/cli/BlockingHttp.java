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

/**
 * Sends one HTTP request and waits for its answer, for commands. Each exchange uses an event loop of its own; stateless
 * and thread-safe.
 */
final class BlockingHttp {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private BlockingHttp() {}

    /**
     * A request.
     *
     * @param address host and port
     * @param body sent as JSON where it is not empty
     */
    record Call(HttpMethod method, String address, String path, Map<String, String> headers, String body) {
        static Call get(String address, String path, Map<String, String> headers) {
            return new Call(HttpMethod.GET, address, path, headers, "");
        }
    }

    /** An answer that ended as its sender meant it to. */
    record Answer(int status, String body, long firstByteMillis, long wholeMillis) {}

    /** Returns the answer; fails with {@code target-unreachable} when there is none or it is cut. */
    static Answer exchange(Call call, Duration timeout) {
        Eventloop loop = Eventloop.create();
        CompletableFuture<Answer> answer = loop.submit(() -> send(loop, call, timeout));
        loop.run();
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.noResponse(call.address(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted(call.address(), e);
        }
    }

    private static Promise<Answer> send(Eventloop loop, Call call, Duration timeout) throws IOException {
        HttpClient client = HttpClient.builder(loop, DnsClient.create(loop, InetAddress.getLoopbackAddress()))
                .withNoKeepAlive()
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(timeout)
                .build();
        HttpRequest.Builder request =
                HttpRequest.builder(call.method(), "http://" + resolved(call.address()) + call.path());
        call.headers().forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));
        if (!call.body().isEmpty()) {
            request.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
            request.withBody(call.body().getBytes(StandardCharsets.UTF_8));
        }
        Reading reading = new Reading();
        return client.request(request.build()).then(reading::read);
    }

    /** Returns the address with its host as an IP number, so that the client makes no DNS query of its own. */
    private static String resolved(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return InetAddress.getByName(address.substring(0, colon)).getHostAddress() + address.substring(colon);
    }

    /** Reads one answer and takes its times. Belongs to the loop of its exchange. */
    private static final class Reading {
        private final MonotonicClock clock = MonotonicClock.system();
        private final long startMillis = clock.nowMillis();
        private final StringBuilder body = new StringBuilder();
        private long firstByteMillis = -1;

        Promise<Answer> read(HttpResponse response) {
            return response.takeBodyStream()
                    .streamTo(ChannelConsumers.ofConsumer(this::take))
                    .map(end -> new Answer(response.getCode(), body.toString(), firstByteMillis, elapsedMillis()));
        }

        private void take(ByteBuf part) {
            if (firstByteMillis < 0) {
                firstByteMillis = elapsedMillis();
            }
            body.append(part.asString(StandardCharsets.UTF_8));
        }

        private long elapsedMillis() {
            return clock.nowMillis() - startMillis;
        }
    }
}
