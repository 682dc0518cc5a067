package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.RequestIdentity;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.platform.PlatformHeaderCodec;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** The limits of an exchange whose target is silent, with the targets in the order in which the test adds them. */
@Timeout(30)
class SilentTargetExchangeTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    /** So short that another target is sought at the shortest intervals, of 100 ms. */
    private static final long OBJECTIVE_MILLIS = 50;

    private static final long SEARCH_INTERVAL_MILLIS = 100;

    private static final int MAX_TARGETS = 2;
    private static final int MAX_ATTEMPT_COUNT = 6;

    /**
     * How long after the first replacement has failed the first connection opens: longer than the interval, and short
     * enough that on an idle machine the whole is within the time limit for opening a connection.
     */
    private static final long OPENING_MILLIS = 150;

    private static final int SILENT_MILLIS = 5_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MonotonicClock clock = MonotonicClock.system();
    private final List<ScriptedTarget> targets = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(logOutput, true));
    private final FirstTargetSelector selector = new FirstTargetSelector();
    private final RecordingSink sink = new RecordingSink();

    @AfterEach
    void stop() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    private ScriptedTarget addTarget(ScriptedTarget.Script script) throws IOException {
        ScriptedTarget target = new ScriptedTarget("i-" + targets.size());
        target.script = script;
        targets.add(target);
        return target;
    }

    private int runCount() {
        return targets.stream()
                .mapToInt(target -> target.executedRequestIds.size())
                .sum();
    }

    /** Sends a repeatable request and returns the status of the response, or the code of the failure. */
    private String respond(EventLoop connectionLoop) throws Exception {
        loop.execute(() -> {
            GatewayContext context = context(connectionLoop);
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    RouteKind.REPEATABLE,
                    TIMEOUT_MILLIS,
                    OBJECTIVE_MILLIS,
                    0,
                    0,
                    List.of(new Route.Destination("desk", 1)),
                    MAX_TARGETS,
                    false,
                    false);
            RequestTraits traits = new RequestTraits(
                    "r1",
                    OptionalLong.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    0,
                    0,
                    List.of(),
                    OptionalLong.empty(),
                    Optional.empty());
            RequestIdentity identity = RequestIdentity.of("", "GET", "/x", new byte[0]);
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER);
            request.headers().set("X-Request-Id", traits.requestId());
            new ProxyExchange(
                            RequestContext.of(context, route, new CallerIdentity.Unmanaged(), traits, identity, false),
                            sink,
                            request)
                    .start();
        });
        String response = sink.response.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        log.flush();
        return response;
    }

    private GatewayContext context(EventLoop connectionLoop) {
        CrashHistory history = new CrashHistory();
        CrashDetector detector = new CrashDetector(
                "n1",
                history,
                id -> Optional.empty(),
                (address, refused) -> {},
                clock::nowMillis,
                1_000,
                crashes -> {},
                suspects -> {});
        GatewayContext context = new GatewayContext(
                GatewaySettings.DEFAULTS,
                new PlatformHeaderCodec(),
                connectionLoop,
                log,
                new GatewayMetrics(new MetricRegistry()),
                new FleetView(),
                clock,
                history,
                detector);
        context.setSelectors(
                selector,
                selector,
                new TargetLimits(() -> false, (target, requestsPerSecond) -> {}),
                new StreamOrigins(clock::nowMillis, service -> Optional.empty()));
        context.retryBudget().setLimits(100, 0, TIMEOUT_MILLIS);
        return context;
    }

    /** Returns the event loop, on which the first connection is opened only once the given future is complete. */
    private EventLoop loopWithSlowFirstConnection(CompletableFuture<Void> opening) {
        AtomicBoolean isFirst = new AtomicBoolean(true);
        return (EventLoop) Proxy.newProxyInstance(
                EventLoop.class.getClassLoader(), new Class<?>[] {EventLoop.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("register")
                            && arguments[0] instanceof Channel channel
                            && isFirst.getAndSet(false)) {
                        ChannelPromise registered = new DefaultChannelPromise(channel, loop);
                        opening.thenRunAsync(
                                () -> loop.register(channel).addListener(done -> registered.setSuccess()), loop);
                        return registered;
                    }
                    return method.invoke(loop, arguments);
                });
    }

    /** Selects the first target that is not excluded. */
    private final class FirstTargetSelector implements TargetSelector {
        private final AtomicInteger searchCount = new AtomicInteger();

        @Override
        public void select(DispatchRequest request, Callback callback) {
            searchCount.incrementAndGet();
            targets.stream()
                    .map(SilentTargetExchangeTest::stateOf)
                    .filter(request::accepts)
                    .findFirst()
                    .ifPresentOrElse(
                            target -> callback.onSelected(target, Optional.empty(), "test"),
                            () -> callback.onRejected("no-target", 0));
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

    private static Target stateOf(ScriptedTarget target) {
        return new Target(
                target.id,
                1,
                1,
                "desk",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port()),
                "z1",
                4,
                false,
                OptionalLong.empty(),
                target.softwareVersion,
                List.of(),
                Set.of(),
                Set.of());
    }

    private static final class RecordingSink implements ResponseSink {
        private final CompletableFuture<String> response = new CompletableFuture<>();

        @Override
        public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {
            body.release();
            response.complete(String.valueOf(status));
        }

        @Override
        public void sendProblem(String requestId, FailureCode code, String reason, long retryAfterMillis) {
            response.complete(code.text());
        }

        @Override
        public void startResponse(int status, HttpHeaders headers) {}

        @Override
        public void writeChunk(ByteBuf chunk) {
            chunk.release();
        }

        @Override
        public void flush() {}

        @Override
        public void endResponse() {
            response.complete("ended");
        }

        @Override
        public void abortResponse() {
            response.complete("aborted");
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    @Test
    void request_does_not_run_at_more_targets_than_allowed_where_its_first_connection_opens_late() throws Exception {
        CompletableFuture<Void> opening = new CompletableFuture<>();
        addTarget((request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", "whole"));
        addTarget((request, out) -> {
            ScriptedTarget.writeResponse(out, request, "500 Internal Server Error", "no");
            Thread.sleep(OPENING_MILLIS);
            opening.complete(null);
        });
        addTarget((request, out) -> request.closedByPeerWithin(SILENT_MILLIS));

        String response = respond(loopWithSlowFirstConnection(opening));

        assertThat(response).as(logOutput::toString).isEqualTo("200");
        assertThat(runCount()).as(logOutput::toString).isEqualTo(MAX_TARGETS);
    }

    @Test
    void request_that_a_silent_target_declines_is_not_given_up_after_searches_that_found_no_other_target()
            throws Exception {
        addTarget((request, out) -> {
            Eventually.eventually(
                    "another target was sought in vain", () -> selector.searchCount.get() >= MAX_ATTEMPT_COUNT);
            addTarget((again, other) -> ScriptedTarget.writeResponse(other, again, "200 OK", "whole"));
            ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable");
        });

        assertThat(respond(loop)).as(logOutput::toString).isEqualTo("200");
    }

    @Test
    void another_target_is_not_sought_more_often_than_at_each_interval() throws Exception {
        addTarget((request, out) -> {
            Thread.sleep(10 * SEARCH_INTERVAL_MILLIS);
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        long startMillis = clock.nowMillis();

        assertThat(respond(loop)).as(logOutput::toString).isEqualTo("200");
        long intervalCount = (clock.nowMillis() - startMillis) / SEARCH_INTERVAL_MILLIS;
        assertThat((long) selector.searchCount.get()).isLessThanOrEqualTo(1 + intervalCount);
    }

    @Test
    void request_is_not_sent_more_often_than_allowed_where_all_other_targets_decline() throws Exception {
        addTarget((request, out) -> {
            Thread.sleep(10 * SEARCH_INTERVAL_MILLIS);
            ScriptedTarget.writeResponse(out, request, "200 OK", "whole");
        });
        for (int i = 0; i < 2 * MAX_ATTEMPT_COUNT; i++) {
            addTarget((request, out) -> ScriptedTarget.writeNotExecuted(out, request, "503 Service Unavailable"));
        }

        assertThat(respond(loop)).as(logOutput::toString).isEqualTo("200");
        assertThat(runCount()).isLessThanOrEqualTo(MAX_ATTEMPT_COUNT);
    }
}
