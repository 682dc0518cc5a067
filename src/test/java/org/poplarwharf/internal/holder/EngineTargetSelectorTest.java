package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.gateway.TargetSelector;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.FakeKeyedLog;

/** Tests a node that follows a lease holder, which the test plays. */
@Timeout(30)
class EngineTargetSelectorTest {
    private static final String HOLDER = "holder/1";
    private static final long HOLDER_SILENCE_MILLIS = 1_500;
    private static final long HEARTBEAT_MILLIS = 200;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MonotonicClock clock = MonotonicClock.system();
    private final FleetView view = new FleetView();
    private final ScriptedHolder holder = new ScriptedHolder();
    private final TargetLimits limits = new TargetLimits(() -> false, (target, requestsPerSecond) -> {});
    private final TargetSpeeds speeds = new TargetSpeeds((target, slow, estimate) -> {});
    private final StreamOrigins origins = new StreamOrigins(clock::nowMillis, service -> Optional.empty());
    private final List<String> selected = new CopyOnWriteArrayList<>();
    private final List<String> rejected = new CopyOnWriteArrayList<>();
    private EngineTargetSelector selector;

    private volatile boolean holderSilent;

    @BeforeEach
    void start() {
        InetSocketAddress address =
                (InetSocketAddress) HolderConnections.listen(group, new InetSocketAddress("127.0.0.1", 0), holder, 10)
                        .syncUninterruptibly()
                        .channel()
                        .localAddress();
        DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(OutputStream.nullOutputStream()));
        HolderRole localHolder = new HolderRole(
                GatewaySettings.DEFAULTS,
                "n1/1",
                view,
                new NoEngines(),
                clock,
                this::schedule,
                log,
                new NoCrashes(),
                limits,
                speeds,
                origins);
        StreamOriginLookup lookup =
                new StreamOriginLookup(origins, new FakeKeyedLog(), clock::nowMillis, log, localHolder::isHolding);
        selector = new EngineTargetSelector(
                localHolder, view, loop, clock, this::schedule, log, limits, speeds, origins, lookup, new NoChanges());
        loop.execute(() -> {
            selector.start();
            selector.followHolder(address, HOLDER);
        });
        Eventually.eventually("the node is connected", () -> holder.connection != null);
        // Without further heartbeats a slow test would find the holder silent.
        loop.scheduleAtFixedRate(this::sendHeartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        Eventually.eventually("the holder responds", selector::isHolderResponding);
    }

    private void sendHeartbeat() {
        if (!holderSilent) {
            holder.connection.send(new HolderMessage.Heartbeat(
                    "holder",
                    HOLDER,
                    true,
                    2,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty()));
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private void schedule(long delayMillis, Runnable task) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void select(String key) {
        long nowMillis = clock.nowMillis();
        RequestTraits traits = new RequestTraits(
                key,
                OptionalLong.empty(),
                Optional.of("m"),
                Optional.empty(),
                10,
                10,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        DispatchRequest request = new DispatchRequest(
                key,
                "z1",
                "lm",
                traits,
                0,
                nowMillis + 10_000,
                nowMillis + 500,
                false,
                Set.of(),
                Optional.empty(),
                Optional.empty(),
                0);
        loop.execute(() -> selector.select(request, new RecordingCallback()));
    }

    private void addTarget(String id) {
        loop.execute(() -> view.put(new Target(
                id,
                1,
                1,
                "lm",
                new InetSocketAddress("127.0.0.1", 1),
                "z1",
                4,
                false,
                OptionalLong.empty(),
                "v1",
                List.of(new LoadedModel("m", Set.of())),
                Set.of(),
                Set.of())));
    }

    @Test
    void grant_of_a_holder_that_was_silent_meanwhile_is_returned_if_the_node_has_selected_a_target_itself() {
        addTarget("t");
        select("r");
        Eventually.eventually("the holder has the request", () -> holder.has(HolderMessage.Submit.class));
        holderSilent = true;
        GatewayCluster.pause(HOLDER_SILENCE_MILLIS);
        Eventually.eventually("the node selects a target itself", () -> selected.contains("own-view"));
        holder.connection.send(new HolderMessage.Granted("r", "t", "", Optional.empty()));

        Eventually.eventually("the grant is returned", () -> holder.received.contains(new HolderMessage.Withdraw("r")));
        assertThat(selected).hasSize(1);
    }

    @Test
    void grant_that_the_node_uses_is_not_returned() {
        addTarget("t");
        select("r");
        Eventually.eventually("the holder has the request", () -> holder.has(HolderMessage.Submit.class));
        holder.connection.send(new HolderMessage.Granted("r", "t", "", Optional.empty()));
        holder.connection.send(new HolderMessage.Granted("r", "t", "", Optional.empty()));
        Eventually.eventually("the grant is used", () -> selected.contains("remote-holder"));
        GatewayCluster.pause(200);

        assertThat(holder.has(HolderMessage.Withdraw.class)).isFalse();
    }

    @Test
    void node_without_a_holder_sends_nothing_to_a_target_that_has_named_a_limit() {
        addTarget("limited");
        loop.execute(() -> selector.reportLimit("limited", 10));
        holderSilent = true;
        GatewayCluster.pause(HOLDER_SILENCE_MILLIS);
        select("r");
        Eventually.eventually("the request is refused", () -> rejected.contains("no-holder"));

        assertThat(selected).isEmpty();
    }

    @Test
    void limit_is_reported_to_a_holder_and_again_after_a_reconnection() {
        loop.execute(() -> selector.reportLimit("t", 2.5));
        Eventually.eventually("the holder knows", () -> holder.reportedLimits().equals(List.of(2.5)));
        holder.connection.close();
        Eventually.eventually("it is told again", () -> holder.reportedLimits().equals(List.of(2.5, 2.5)));
    }

    @Test
    void grant_of_a_limited_target_that_is_read_after_a_pause_of_the_process_is_not_used() throws Exception {
        addTarget("t");
        loop.execute(() -> selector.reportLimit("t", 1));
        select("r");
        Eventually.eventually("the holder has the request", () -> holder.has(HolderMessage.Submit.class));
        loop.execute(() -> GatewayCluster.pause(700));
        holder.connection.send(new HolderMessage.Granted("r", "t", "", Optional.empty()));
        Eventually.eventually(
                "the grant is returned",
                () -> holder.received.stream()
                        .anyMatch(message -> message instanceof HolderMessage.Outcome outcome
                                && outcome.key().equals("r")
                                && outcome.kind() == HolderMessage.OutcomeKind.ABANDONED));

        assertThat(selected).isEmpty();
    }

    private final class RecordingCallback implements TargetSelector.Callback {
        @Override
        public void onSelected(Target target, Optional<Target> backup, String by) {
            selected.add(by);
        }

        @Override
        public void onRejected(String reason, long retryAfterMillis) {
            rejected.add(reason);
        }
    }

    private static final class ScriptedHolder implements HolderConnections.Handler {
        private final List<HolderMessage> received = new CopyOnWriteArrayList<>();
        private volatile HolderConnections.Connection connection;

        List<Double> reportedLimits() {
            return received.stream()
                    .filter(HolderMessage.Outcome.class::isInstance)
                    .flatMap(message -> ((HolderMessage.Outcome) message).namedLimit().stream())
                    .map(HolderMessage.NamedLimit::requestsPerSecond)
                    .toList();
        }

        boolean has(Class<? extends HolderMessage> type) {
            return received.stream().anyMatch(type::isInstance);
        }

        @Override
        public void opened(HolderConnections.Connection opened) {
            connection = opened;
        }

        @Override
        public void received(HolderConnections.Connection sender, HolderMessage message) {
            received.add(message);
        }

        @Override
        public void closed(HolderConnections.Connection closed, boolean endedByPeer) {
            connection = null;
        }
    }

    private static final class NoEngines implements EngineClient {
        @Override
        public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback) {
            throw new UnsupportedOperationException("the node does not hold the lease");
        }

        @Override
        public void fetchReport(Target target, Consumer<Optional<EngineReport>> callback) {
            throw new UnsupportedOperationException("the node does not hold the lease");
        }
    }

    private static final class NoCrashes implements CrashListener {
        @Override
        public void runSucceeded(RequestSuspects suspects) {}

        @Override
        public void crashesReported(List<TargetCrash> crashes) {
            throw new UnsupportedOperationException("no crash is reported");
        }

        @Override
        public List<TargetCrash> knownCrashes() {
            return List.of();
        }
    }

    private static final class NoChanges implements HolderListener {
        @Override
        public void connected() {}

        @Override
        public void peersReported(List<HolderMessage.PeerState> peers) {}

        @Override
        public void holderEnded(String incarnation) {
            // The holder does not end in these tests.
        }

        @Override
        public void nodesReported(Nodes nodes) {
            // Not checked here.
        }

        @Override
        public void accountMessageReceived(AccountMessage message) {}

        @Override
        public void crashesAnnounced(HolderMessage.TargetCrashes announcement) {
            // Not checked here.
        }
    }
}
