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

/**
 * HTTP calls with a time limit, each sent once on a connection of its own.
 *
 * <p>Invariant: no connection is kept for a later call, so that one that went silent harms only the call that uses it.
 * Belongs to one reactor thread.
 */
final class HttpCalls {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    private final NioReactor reactor;
    private final long limitMillis;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param limitMillis the most that a call may take from its start to the last byte of its answer
     */
    HttpCalls(NioReactor reactor, long limitMillis) {
        this.reactor = reactor;
        this.limitMillis = limitMillis;
        DnsClient dns = DnsClient.create(reactor, InetAddress.getLoopbackAddress());
        client = HttpClient.builder(reactor, dns)
                .withNoKeepAlive()
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(Duration.ofMillis(limitMillis))
                .withMaxBodySize(MAX_ANSWER_BYTES)
                .withInspector(new ConnectFailures())
                .build();
    }

    /** Sends a request once and reads the whole answer. */
    Promise<Answer> call(HttpRequest request) {
        return call(request, limitMillis);
    }

    /** Sends a request once and reads the whole answer within a limit of its own. */
    Promise<Answer> call(HttpRequest request, long ownLimitMillis) {
        Promise<Answer> answer = client.request(request).then(HttpCalls::whole);
        return Promises.timeout(reactor, Math.min(ownLimitMillis, limitMillis), answer);
    }

    /** Turns the outcome of a call into a value or a failure, without a throw inside the event loop. */
    static <T> Promise<T> settle(
            Promise<Answer> call, Function<Answer, T> onAnswer, Function<Exception, PoplarWharfException> onFailure) {
        return call.then((answer, failure) -> {
            if (failure != null) {
                return Promise.ofException(onFailure.apply(failure));
            }
            try {
                return Promise.of(onAnswer.apply(answer));
            } catch (PoplarWharfException refused) {
                return Promise.ofException(refused);
            }
        });
    }

    /** Tells whether a failed call never reached the other end. */
    static boolean neverSent(HttpRequest request) {
        return request.getAttachment(ConnectFailed.class) != null;
    }

    private static Promise<Answer> whole(HttpResponse response) {
        int status = response.getCode();
        return response.loadBody().map(body -> new Answer(status, body.getArray()));
    }

    /** An answer that came whole. Immutable by convention. */
    record Answer(int status, byte[] body) {}

    private record ConnectFailed() {}

    private static final class ConnectFailures extends HttpClient.JmxInspector {
        @Override
        public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
            request.attach(new ConnectFailed());
        }
    }
}
