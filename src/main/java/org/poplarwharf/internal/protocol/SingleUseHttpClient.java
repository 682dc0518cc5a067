package org.poplarwharf.internal.protocol;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Function;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.response.VerifyingSocketInspector;

/**
 * An HTTP client that sends each request once, on a new connection and with a timeout.
 *
 * <p>Invariants: connections are not reused, so that a connection that stops delivering data affects only one request. Bytes
 * that are no response fail the request, whatever status they state.
 * Confined to one reactor thread.
 */
final class SingleUseHttpClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final NioReactor reactor;
    private final long timeoutMillis;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param timeoutMillis maximum time from the start of a request to the last byte of its response
     */
    SingleUseHttpClient(NioReactor reactor, long timeoutMillis) {
        this.reactor = reactor;
        this.timeoutMillis = timeoutMillis;
        DnsClient dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
        client = new VerifyingSocketInspector()
                .addTo(HttpClient.builder(reactor, dns))
                .withNoKeepAlive()
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(Duration.ofMillis(timeoutMillis))
                .withMaxBodySize(MAX_RESPONSE_BYTES)
                .withInspector(new ConnectErrorInspector())
                .build();
    }

    /** Sends a request once and reads the complete response. */
    Promise<Response> send(HttpRequest request) {
        return send(request, timeoutMillis);
    }

    /** Sends a request once and reads the complete response within a timeout for this request. */
    Promise<Response> send(HttpRequest request, long requestTimeoutMillis) {
        Promise<Response> response = client.request(request).then(SingleUseHttpClient::readBody);
        return Promises.timeout(reactor, Math.min(requestTimeoutMillis, timeoutMillis), response);
    }

    /** Converts a response or error into a value or failure, without throwing inside the event loop. */
    static <T> Promise<T> mapResult(
            Promise<Response> pending,
            Function<Response, T> onResponse,
            Function<Exception, PoplarWharfException> onError) {
        return pending.then((response, error) -> {
            if (error != null) {
                return Promise.ofException(onError.apply(error));
            }
            try {
                return Promise.of(onResponse.apply(response));
            } catch (PoplarWharfException e) {
                return Promise.ofException(e);
            }
        });
    }

    /** Returns whether a request failed because no connection was established, so that the server never received it. */
    static boolean failedToConnect(HttpRequest request) {
        return request.getAttachment(ConnectFailureMarker.class) != null;
    }

    private static Promise<Response> readBody(HttpResponse response) {
        int status = response.getCode();
        return response.loadBody().map(body -> new Response(status, body.getArray()));
    }

    /** A complete response. Immutable by convention. */
    record Response(int status, byte[] body) {}

    private record ConnectFailureMarker() {}

    private static final class ConnectErrorInspector extends HttpClient.JmxInspector {
        @Override
        public void onConnectError(HttpRequest request, InetSocketAddress address, Exception error) {
            request.attach(new ConnectFailureMarker());
        }
    }
}
