package org.poplarwharf.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
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
import org.poplarwharf.internal.platform.PlatformHeaderCodec;

/** A caller's connection while the handling of its request throws an exception. */
class CallerConnectionTest {
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(logOutput, true));
    private boolean failing = true;
    private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel created) {
            GatewayContext context = context(created.eventLoop());
            created.pipeline()
                    .addLast(new CallerConnection(context, new ProxyServer(context), created.eventLoop(), false));
        }
    });

    private GatewayContext context(EventLoop loop) {
        CrashHistory history = new CrashHistory();
        CrashDetector detector = new CrashDetector(
                "n1", history, id -> Optional.empty(), null, () -> 0, 1_000, crashes -> {}, suspects -> {});
        FleetView view = new FleetView();
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.ONCE,
                1_000,
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
                () -> 0,
                history,
                detector);
        TargetSelector selector = new FailingSelector();
        context.setSelectors(selector, selector, null, null);
        return context;
    }

    /** Throws an exception in place of a search, or finds no target. */
    private final class FailingSelector implements TargetSelector {
        @Override
        public void select(DispatchRequest request, Callback callback) {
            if (failing) {
                throw new IllegalStateException("defect");
            }
            callback.onRejected("no target", 0);
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

    private FullHttpResponse send(String id) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        head.headers().set("Host", "h").set("X-Request-Id", id);
        channel.writeInbound(head, LastHttpContent.EMPTY_LAST_CONTENT);
        return channel.readOutbound();
    }

    @Test
    void request_whose_handling_throws_is_answered_and_the_connection_goes_on() {
        FullHttpResponse failure = send("r1");

        assertThat(failure).isNotNull();
        assertThat(failure.status().code()).isEqualTo(500);
        assertThat(failure.headers().get("X-Request-Id")).isEqualTo("r1");
        assertThat(failure.content().toString(StandardCharsets.UTF_8)).contains("\"internal\"");
        log.flush();
        assertThat(logOutput.toString())
                .contains("\"requestId\":\"r1\"")
                .contains("IllegalStateException: defect")
                .contains("\"code\":\"internal\"");

        failing = false;
        assertThat(send("r2").status().code()).isEqualTo(503);
    }
}
