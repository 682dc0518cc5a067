package org.poplarwharf.internal.holder;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.poplarwharf.internal.admin.MetricsText;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.gateway.GatewayServer;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.gateway.HeaderCodec;
import org.poplarwharf.internal.gateway.PlanTopicListener;
import org.poplarwharf.internal.gateway.TargetTopicListener;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.lease.LeaseKeeper;
import org.poplarwharf.internal.lease.LeaseRecord;
import org.poplarwharf.internal.lease.LeaseTimes;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * A gateway node: its parts, put together on one event loop.
 *
 * <p>Invariant: it goes through its life once: started, draining, stopped. Thread-safe; the methods block.
 */
public final class GatewayNode {
    private static final String LEASE_TOPIC = "poplarwharf-holder";

    /** Reads of targets' entries are this part of the time within which a leaving target must be left alone. */
    private static final double TARGET_READ_SHARE = 0.7;

    private static final long PLAN_GAP_MILLIS = 50;
    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 800;

    private final GatewaySettings settings;
    private final Adapter adapter;
    private final DecisionLog log;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MonotonicClock clock = MonotonicClock.system();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final GatewayServer front;
    private final HolderRole holder;
    private final EnginePlaces engines;
    private final LeaseKeeper lease;
    private final TopicFollower plans;
    private final TopicFollower targets;

    /** What a platform's adapter brings. */
    public record Adapter(
            HeaderCodec headerNames,
            Function<PooledHttpClient, KeyedLog> log,
            Function<PooledHttpClient, EngineControl> engines,
            BiFunction<String, byte[], Optional<Target>> targetDecoder,
            Function<byte[], FleetPlan> planDecoder,
            Function<String, InetSocketAddress> addressParser,
            Function<InetSocketAddress, String> addressFormatter,
            String planTopic,
            String targetTopic) {}

    public GatewayNode(GatewaySettings settings, Adapter adapter, PrintStream out) {
        this.settings = settings;
        this.adapter = adapter;
        this.log = new DecisionLog(settings.nodeId(), settings.zone(), out);
        MetricRegistry registry = new MetricRegistry();
        FleetView view = new FleetView();
        PooledHttpClient caller = new PooledHttpClient(loop);
        KeyedLog platformLog = adapter.log().apply(caller);
        String incarnation = settings.nodeId() + "/" + System.currentTimeMillis() + "/" + System.nanoTime();
        TopicFollower.Timer timer = this::after;
        this.front = new GatewayServer(
                settings,
                adapter.headerNames(),
                loop,
                log,
                new GatewayMetrics(registry),
                view,
                clock,
                () -> MetricsText.of(registry));
        this.holder =
                new HolderRole(settings, incarnation, view, adapter.engines().apply(caller), clock, timer, log);
        this.engines = new EnginePlaces(holder, view, loop, clock, timer, log, new LinkListener());
        front.setEngineSelector(engines);
        LeaseRecord self = new LeaseRecord(
                settings.nodeId(), incarnation, adapter.addressFormatter().apply(settings.peerAddress()), 0, 0, false);
        this.lease = new LeaseKeeper(
                LEASE_TOPIC,
                self,
                LeaseTimes.with(settings.orderGapMillis()),
                platformLog,
                timer,
                new SystemClocks(),
                new LeaseListener());
        long targetGapMillis = Math.round(settings.targetRemovalMillis() * TARGET_READ_SHARE);
        this.plans = new TopicFollower(
                adapter.planTopic(),
                platformLog,
                new TopicFollower.Pace(PLAN_GAP_MILLIS, settings.planUpdateMillis(), RETRY_MILLIS, MAX_RETRY_MILLIS),
                timer,
                new PlanTopicListener(view, adapter.planDecoder(), log));
        this.targets = new TopicFollower(
                adapter.targetTopic(),
                platformLog,
                new TopicFollower.Pace(targetGapMillis, 0, RETRY_MILLIS, MAX_RETRY_MILLIS),
                timer,
                new TargetTopicListener(view, adapter.targetDecoder(), clock, timer, log));
    }

    /** Starts; returns once the node takes connections. */
    public void start() {
        bound(settings.readinessAddress(), front.listenForReadiness(group));
        bound(settings.peerAddress(), holder.listen(group, settings.peerAddress()));
        bound(settings.callerAddress(), front.listen(group));
        loop.execute(() -> {
            log.log("node-started", "front", settings.callerAddress(), "log", settings.logAddress());
            plans.start();
            targets.start();
            engines.start();
            lease.start();
        });
    }

    /** Puts changed settings in force, as far as they concern a running node. */
    public void reload(GatewaySettings latest) {
        loop.execute(() -> front.reload(latest));
    }

    /** Logs that the settings could not be read again; those before stay in force. */
    public void reloadFailed(String reason) {
        log.log("settings-unusable", "reason", reason);
    }

    /** Finishes what is under way, gives the lease up and stops. */
    public void drainAndStop() {
        loop.execute(() -> {
            lease.resign();
            front.drain(() -> stopped.countDown());
        });
        try {
            stopped.await(settings.shutdownGraceMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.log("node-stopped");
        log.flush();
        stopped.countDown();
    }

    /** Waits until the node has stopped. */
    public void awaitStop() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void after(long delayMillis, Runnable task) {
        Runnable logged = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.log(
                        "unexpected-exception",
                        "exception",
                        e,
                        "at",
                        e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]);
            }
        };
        if (delayMillis <= 0) {
            loop.execute(logged);
        } else {
            loop.schedule(logged, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void bound(InetSocketAddress address, ChannelFuture binding) {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw Reporter.addressUnusable(adapter.addressFormatter().apply(address), binding.cause());
        }
    }

    private final class SystemClocks implements LeaseKeeper.Clocks {
        @Override
        public long steadyMillis() {
            return clock.nowMillis();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }
    }

    private final class LeaseListener implements LeaseKeeper.Listener {
        @Override
        public void claimed(long fencingNumber) {
            log.log("lease-claimed", "fencingNumber", fencingNumber);
            holder.claimed(lease);
        }

        @Override
        public void expired() {
            log.log("lease-expired", "fencingNumber", lease.fencingNumber());
        }

        @Override
        public void lost(String why) {
            log.log("lease-lost", "why", why);
            holder.lost();
        }

        @Override
        public void follows(LeaseRecord record) {
            engines.follow(adapter.addressParser().apply(record.address()), record.incarnation());
        }

        @Override
        public boolean holderAnswers() {
            return engines.holderAnswers();
        }
    }

    private final class LinkListener implements EnginePlaces.Listener {
        @Override
        public void holderGone(String incarnation) {
            lease.holderGone(incarnation);
        }

        @Override
        public void nodes(int count) {
            front.setNodeCount(count);
        }
    }
}
