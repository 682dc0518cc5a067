package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Closes connections of a server whose event loop is kept busy by tasks and by the handling of requests. */
@Timeout(30)
class CallerConnectionsTest {
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    /** Longer than sent bytes need to arrive, and than an idle connection is left open. */
    private static final long BUSY_MILLIS = 300;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final Eventloop loop = Eventloop.builder().withThreadName("traffic").build();
    private final CallerConnections connections = new CallerConnections(loop);
    private final CountDownLatch firstSent = new CountDownLatch(1);
    private final CountDownLatch firstRead = new CountDownLatch(1);
    private final CountDownLatch secondSent = new CountDownLatch(1);
    private final AtomicInteger requests = new AtomicInteger();
    private Socket caller;

    @BeforeEach
    void start() throws Exception {
        loop.keepAlive(true);
        new Thread(loop, "traffic").start();
        HttpServer server = connections
                .track(HttpServer.builder(loop, this::respond))
                .withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .build();
        CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                server.listen();
                address.complete(server.getBoundAddresses().get(0));
            } catch (IOException e) {
                address.completeExceptionally(e);
            }
        });
        caller = new Socket(InetAddress.getLoopbackAddress(), address.join().getPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        loop.execute(loop::breakEventloop);
    }

    /** Responds to the first request once the second one has arrived, which the loop reads later. */
    private Promise<HttpResponse> respond(HttpRequest request) {
        if (requests.incrementAndGet() == 1) {
            firstRead.countDown();
            awaitArrival(secondSent);
        }
        return HttpResponse.ok200().toPromise();
    }

    private static void awaitArrival(CountDownLatch sent) {
        try {
            sent.await();
            Thread.sleep(BUSY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send() throws IOException {
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void request_that_arrives_while_the_one_before_is_handled_is_answered_before_the_close() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        loop.execute(() -> {
            awaitArrival(firstSent);
            connections.closeAll().whenComplete(() -> closed.complete(null));
        });
        send();
        firstSent.countDown();
        firstRead.await();
        send();
        secondSent.countDown();

        String responses = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

        assertThat(responses.split("HTTP/1.1 200 ", -1)).as(responses).hasSize(3);
        assertThat(closed).succeedsWithin(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
