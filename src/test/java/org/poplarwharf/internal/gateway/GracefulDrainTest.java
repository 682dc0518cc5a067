package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
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

/** A drain of a node whose event loop is behind. */
@Timeout(30)
class GracefulDrainTest {
    private static final long GRACE_MILLIS = 1_500;

    /** Longer than the node accepts connections during a drain. */
    private static final long BUSY_MILLIS = 700;

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
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
        address = (InetSocketAddress) server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void request_that_arrived_while_the_event_loop_was_busy_is_not_lost_in_a_drain() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        GracefulDrain drain = new GracefulDrain(
                server, (millis, task) -> loop.schedule(task, millis, TimeUnit.MILLISECONDS), log, GRACE_MILLIS);
        loop.execute(() -> {
            drain.start(clock, () -> {});
            awaitThenStayBusy(arrived);
        });
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream()
                    .write("GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            arrived.countDown();

            assertThat(new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8))
                            .readLine())
                    .startsWith("HTTP/1.1 503");
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
