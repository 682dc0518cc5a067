package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.platform.PlatformHeaderCodec;

/** A drain of a node whose event loop is behind, or whose callers are. */
@Timeout(30)
class GracefulDrainTest {
    private static final long GRACE_MILLIS = 1_500;

    private static final long LONG_GRACE_MILLIS = 3_000;

    /** Longer than the node waits within the long grace period before it closes idle connections. */
    private static final long LONG_GRACE_IDLE_CLOSE_MILLIS = 1_200;

    /** Long enough for a drain to notice that the last request has ended, and shorter than a connection lingers. */
    private static final long END_MILLIS = 150;

    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** The node repeats it in its response, which is then larger than the caller's buffer. */
    private static final String LONG_REQUEST_ID = "r".repeat(60_000);

    /** Longer than the node accepts connections during a drain. */
    private static final long BUSY_MILLIS = 700;

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final List<Channel> channels = new CopyOnWriteArrayList<>();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
        @Override
        public ChannelFuture register(Channel channel) {
            channels.add(channel);
            return super.register(channel);
        }
    };
    private final EventLoop loop = group.next();
    private final DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(new ByteArrayOutputStream(), true));
    private final MonotonicClock clock = MonotonicClock.system();
    private ProxyServer server;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws InterruptedException {
        CrashHistory history = new CrashHistory();
        CrashDetector detector = new CrashDetector(
                "n1", history, id -> Optional.empty(), null, clock::nowMillis, 1_000, crashes -> {}, suspects -> {});
        // Without a plan, the node refuses each request as not ready.
        server = new ProxyServer(new GatewayContext(
                GatewaySettings.DEFAULTS,
                new PlatformHeaderCodec(),
                loop,
                log,
                new GatewayMetrics(new MetricRegistry()),
                new FleetView(),
                clock,
                history,
                detector));
        address = (InetSocketAddress)
                server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false)
                        .sync()
                        .channel()
                        .localAddress();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private GracefulDrain newDrain(long graceMillis) {
        return new GracefulDrain(
                server, (millis, task) -> loop.schedule(task, millis, TimeUnit.MILLISECONDS), log, graceMillis);
    }

    private void closeAsAtTheEndOfTheProcess() {
        channels.forEach(Channel::close);
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void request_that_arrived_while_the_event_loop_was_busy_is_not_lost_in_a_drain() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        GracefulDrain drain = newDrain(GRACE_MILLIS);
        loop.execute(() -> {
            drain.start(clock, () -> {});
            awaitThenStayBusy(arrived);
        });
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            send(caller, "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n");
            arrived.countDown();

            assertThat(new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8))
                            .readLine())
                    .startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void last_response_of_a_drain_reaches_a_caller_that_reads_late_and_has_sent_more() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            caller.connect(address);
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            send(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\nX-Request-Id: " + LONG_REQUEST_ID);
            send(caller, "\r\n\r\none ");
            loop.execute(() -> newDrain(LONG_GRACE_MILLIS).start(clock, () -> {
                closeAsAtTheEndOfTheProcess();
                drained.countDown();
            }));
            Thread.sleep(LONG_GRACE_IDLE_CLOSE_MILLIS);
            send(caller, "two");
            String begin = new String(caller.getInputStream().readNBytes(8), StandardCharsets.US_ASCII);
            Thread.sleep(END_MILLIS);
            send(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");

            assertThat(begin + new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 503")
                    .contains(LONG_REQUEST_ID + "\r\n")
                    .endsWith("}");
        }
        assertThat(drained.await(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void refusal_reaches_a_caller_that_has_ended_its_output() throws Exception {
        assertRefusedAfterEndOfOutput(() -> {});
    }

    @Test
    void refusal_in_a_drain_reaches_a_caller_that_has_ended_its_output() throws Exception {
        assertRefusedAfterEndOfOutput(server::startDraining);
    }

    private void assertRefusedAfterEndOfOutput(Runnable before) throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        loop.execute(() -> {
            before.run();
            awaitThenStayBusy(arrived);
        });
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            send(caller, "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n");
            caller.shutdownOutput();
            arrived.countDown();

            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 503")
                    .endsWith("}");
        }
    }

    private static void awaitThenStayBusy(CountDownLatch arrived) {
        try {
            arrived.await();
            Thread.sleep(BUSY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
