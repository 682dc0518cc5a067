package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.CallerLimits;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.RouteTable;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.platform.PlatformHeaderCodec;
import org.poplarwharf.support.Eventually;

/** Requests that have arrived, but that the event loop has not read when their connection could close. */
@Timeout(30)
class UnreadRequestTest {
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    /** Time for sent bytes to get into the buffer of the receiving socket. */
    private static final long ARRIVAL_MILLIS = 100;

    /** Requests with large bodies that are enough to make a node stop reading from their connection. */
    private static final int PIPELINED_COUNT = 4;

    private static final String LARGE_BODY = "x".repeat(100_000);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<CallerConnection> connections = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> selections = new LinkedBlockingQueue<>();
    private final DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(new ByteArrayOutputStream(), true));
    private final BlockingQueue<Runnable> beforeRejection = new LinkedBlockingQueue<>();
    private volatile boolean holding = true;
    private volatile Channel channel;
    private ProxyServer server;
    private CallerConnection connection;
    private Socket caller;

    @BeforeEach
    void start() throws Exception {
        GatewayContext context = context();
        server = new ProxyServer(context);
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        CallerConnection accepted = new CallerConnection(context, server, loop, false);
                        created.pipeline().addLast(new HttpServerCodec(), accepted);
                        channel = created;
                        connections.add(accepted);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        caller = new Socket(address.getAddress(), address.getPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        connection = connections.take();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private GatewayContext context() {
        CrashHistory history = new CrashHistory();
        MonotonicClock clock = MonotonicClock.system();
        CrashDetector detector = new CrashDetector(
                "n1", history, id -> Optional.empty(), null, clock::nowMillis, 1_000, crashes -> {}, suspects -> {});
        FleetView view = new FleetView();
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.ONCE,
                20_000,
                100,
                0,
                0,
                List.of(new Route.Destination("desk", 1)),
                1,
                false,
                false);
        view.apply(new FleetPlan(1, new RouteTable(List.of(route)), Map.of(), CallerLimits.DEFAULTS, Optional.empty()));
        view.targetsLoaded();
        GatewayContext context = new GatewayContext(
                GatewaySettings.DEFAULTS,
                new PlatformHeaderCodec(),
                loop,
                log,
                new GatewayMetrics(new MetricRegistry()),
                view,
                clock,
                history,
                detector);
        TargetSelector selector = new HoldingSelector();
        context.setSelectors(selector, selector, null, null);
        return context;
    }

    /** Never answers for a request while holding, and finds no target afterwards. */
    private final class HoldingSelector implements TargetSelector {
        @Override
        public void select(DispatchRequest request, Callback callback) {
            if (holding) {
                selections.add("held");
            } else {
                Optional.ofNullable(beforeRejection.poll()).ifPresent(Runnable::run);
                callback.onRejected("no target", 0);
            }
        }

        @Override
        public void cancel(String key) {}

        @Override
        public void reportOutcome(String key, RunOutcome outcome) {}

        @Override
        public void reportEnd(String key, boolean successful) {}

        @Override
        public void reportLeaving(Target target) {}

        @Override
        public void reportLimit(String targetId, double requestsPerSecond) {}
    }

    private static String request(String id) {
        return "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n\r\n";
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request that is under way from then on. */
    private void startRequest() throws Exception {
        send(request("first"));
        selections.take();
        holding = false;
    }

    /** Runs the action on the event loop once the text is in the buffer of the socket, before the loop has read it. */
    private void runBeforeReading(String text, Runnable action) throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        loop.execute(() -> {
            busy.countDown();
            awaitArrival(sent);
            action.run();
        });
        busy.await();
        send(text);
        sent.countDown();
    }

    private static void awaitArrival(CountDownLatch sent) {
        try {
            sent.await();
            Thread.sleep(ARRIVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendFirstResponse() {
        connection.sendResponse(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    /** Reads until the gateway ends the connection in order, and returns the heads of the responses. */
    private List<String> readHeads() throws IOException {
        String text = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        List<String> heads = new ArrayList<>();
        for (int at = text.indexOf("HTTP/1.1 "); at >= 0; at = text.indexOf("HTTP/1.1 ", at + 1)) {
            heads.add(text.substring(at, text.indexOf("\r\n\r\n", at)));
        }
        return heads;
    }

    /** Asserts the status codes of all responses, and that only the last one announces the close. */
    private void assertResponses(List<Integer> statusCodes) throws IOException {
        List<String> heads = readHeads();
        assertThat(heads)
                .extracting(head -> Integer.parseInt(head.substring(9, 12)))
                .isEqualTo(statusCodes);
        assertThat(heads.subList(0, heads.size() - 1)).noneMatch(UnreadRequestTest::announcesClose);
        assertThat(heads.getLast()).matches(UnreadRequestTest::announcesClose);
    }

    private static boolean announcesClose(String head) {
        return head.contains("connection: close");
    }

    @Test
    void request_unread_when_a_stream_from_before_the_drain_ends_is_answered() throws Exception {
        startRequest();
        loop.submit(() -> connection.startResponse(200, new DefaultHttpHeaders()))
                .sync();
        runBeforeReading(request("second"), () -> {
            server.startDraining();
            connection.endResponse();
        });

        assertResponses(List.of(200, 503));
    }

    @Test
    void request_unread_when_a_response_in_a_drain_is_complete_is_answered() throws Exception {
        startRequest();
        runBeforeReading(request("second"), () -> {
            server.startDraining();
            sendFirstResponse();
        });

        assertResponses(List.of(200, 503));
    }

    @Test
    void request_unread_when_a_stream_begins_in_a_drain_is_answered() throws Exception {
        startRequest();
        runBeforeReading(request("second"), () -> {
            server.startDraining();
            connection.startResponse(200, new DefaultHttpHeaders());
            connection.writeChunk(Unpooled.copiedBuffer("event", StandardCharsets.US_ASCII));
            connection.flush();
            connection.endResponse();
        });

        assertResponses(List.of(200, 503));
    }

    @Test
    void request_read_together_with_one_that_is_refused_in_a_drain_is_answered() throws Exception {
        holding = false;
        runBeforeReading(request("first") + request("second"), server::startDraining);

        assertResponses(List.of(503, 503));
    }

    @Test
    void request_that_arrives_while_the_one_before_is_read_and_refused_in_a_drain_is_answered() throws Exception {
        holding = false;
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        beforeRejection.add(() -> {
            read.countDown();
            awaitArrival(sent);
        });
        runBeforeReading(request("first"), server::startDraining);
        read.await();
        send(request("second"));
        sent.countDown();

        assertResponses(List.of(503, 503));
    }

    @Test
    void request_unread_behind_so_many_that_reading_is_off_is_answered_in_a_drain() throws Exception {
        startRequest();
        String waiting = String.join(
                "",
                IntStream.range(0, PIPELINED_COUNT)
                        .mapToObj(i ->
                                request("w" + i).replace("Host", "Content-Length: " + LARGE_BODY.length() + "\r\nHost")
                                        + LARGE_BODY)
                        .toList());
        send(waiting);
        Eventually.eventually("reading is off", () -> !channel.config().isAutoRead());
        runBeforeReading(request("unread"), () -> {
            server.startDraining();
            sendFirstResponse();
        });

        assertResponses(List.of(200, 503, 503, 503, 503, 503));
    }

    @Test
    void request_unread_when_the_idle_connections_of_a_drain_close_is_answered() throws Exception {
        holding = false;
        runBeforeReading(request("first"), () -> {
            server.startDraining();
            server.closeIdle();
        });

        assertResponses(List.of(503));
    }

    @Test
    void request_unread_when_the_idle_connections_of_a_drain_close_counts_as_in_flight() throws Exception {
        holding = false;
        BlockingQueue<Integer> inFlightCounts = new LinkedBlockingQueue<>();
        runBeforeReading(request("first"), () -> {
            server.startDraining();
            server.closeIdle();
            inFlightCounts.add(server.inFlightCount());
        });

        assertThat(inFlightCounts.take()).isEqualTo(1);
    }

    @Test
    void request_unread_when_the_idle_time_of_its_connection_ends_is_answered() throws Exception {
        holding = false;
        runBeforeReading(
                request("first") + request("last").replace("Host", "Connection: close\r\nHost"),
                () -> connection.closeIfIdle());

        assertResponses(List.of(503, 503));
    }

    @Test
    void request_that_follows_one_read_when_the_idle_time_of_its_connection_ends_is_answered() throws Exception {
        holding = false;
        runBeforeReading(request("first"), () -> connection.closeIfIdle());
        loop.schedule(() -> {}, ARRIVAL_MILLIS, TimeUnit.MILLISECONDS).sync();
        send(request("last").replace("Host", "Connection: close\r\nHost"));

        assertResponses(List.of(503, 503));
    }

    @Test
    void connection_on_which_nothing_arrives_closes_after_its_response_in_a_drain() throws Exception {
        startRequest();
        loop.submit(() -> connection.startResponse(200, new DefaultHttpHeaders()))
                .sync();
        loop.execute(() -> {
            server.startDraining();
            connection.endResponse();
        });

        assertThat(readHeads()).hasSize(1).noneMatch(UnreadRequestTest::announcesClose);
    }

    @Test
    void response_held_back_in_a_drain_is_released_when_it_is_aborted() throws Exception {
        startRequest();
        ByteBuf chunk = Unpooled.copiedBuffer("event", StandardCharsets.US_ASCII);
        loop.execute(() -> {
            server.startDraining();
            connection.startResponse(200, new DefaultHttpHeaders());
            connection.writeChunk(chunk);
            connection.abortResponse();
        });

        assertThat(readHeads()).isEmpty();
        Eventually.eventually("chunk released", () -> chunk.refCnt() == 0);
    }
}
