package org.poplarwharf.internal.holder;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.poplarwharf.internal.admin.PrometheusText;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.gateway.BrokenResponseRecorder;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.gateway.GatewayServer;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.gateway.PlanTopicListener;
import org.poplarwharf.internal.gateway.TargetTopicListener;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.lease.HolderLeaseListener;
import org.poplarwharf.internal.lease.LeaseRecord;
import org.poplarwharf.internal.lease.LeaseTimings;
import org.poplarwharf.internal.lease.SystemClocks;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * A gateway node, which assembles its components on one event loop.
 *
 * <p>Invariant: a node passes through its life cycle once: started, draining, stopped. Thread-safe; methods that start
 * or stop the node block.
 */
public final class GatewayNode {
    private static final String LOG_RESTORES_COUNTER = "gateway.log_restores";
    private static final String LEASE_TOPIC = "poplarwharf-holder";

    /**
     * Interval between reads of the targets' entries, as a ratio of the time within which the node must stop sending
     * requests to a target that is leaving.
     */
    private static final double TARGET_READ_INTERVAL_RATIO = 0.7;

    private static final long PLAN_READ_GAP_MILLIS = 50;
    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 800;

    private final GatewaySettings settings;
    private final PlatformAdapter adapter;
    private final DecisionLog log;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MonotonicClock clock = MonotonicClock.system();
    private final FleetView view = new FleetView();
    private final TargetSpeeds targetSpeeds;
    private final TopicFollower.Timer timer;
    private final MetricRegistry registry = new MetricRegistry();
    private final KeyedLog platformLog;
    private final NodeStop stop;
    private final GatewayServer front;
    private final HolderRole holderRole;
    private final EngineTargetSelector engineTargets;
    private final HolderLease lease;
    private final TopicFollower planFollower;
    private final TargetTopicListener targetListener;
    private final TopicFollower targetFollower;
    private final CrashContainment crashes;
    private final StreamOriginRecords originRecords;
    private final ClientAccounts accounts;
    private final PeerExchange peers;
    private volatile long graceMillis;

    public GatewayNode(GatewaySettings settings, PlatformAdapter adapter, PrintStream out) {
        this.settings = settings;
        this.graceMillis = settings.shutdownGraceMillis();
        this.adapter = adapter;
        this.log = new DecisionLog(settings.nodeId(), settings.zone(), out);
        this.stop = new NodeStop(() -> graceMillis, clock, log);
        this.timer = new LoopTimer(loop, log);
        GatewayMetrics metrics = new GatewayMetrics(registry);
        PooledHttpClient httpCaller = new PooledHttpClient(loop, new BrokenResponseRecorder(log, metrics));
        this.platformLog = adapter.logFactory().apply(httpCaller);
        String incarnation = settings.nodeId() + "/" + System.currentTimeMillis() + "/" + System.nanoTime();
        platformLog.onRestored(this::handleLogRestored);
        this.crashes = newCrashContainment();
        TargetLimits targetLimits = TargetLimitRecorder.newLimits(this::holderRole, log, metrics);
        this.targetSpeeds = TargetSpeedRecorder.newSpeeds(view, settings.placesBySpeed(), log, metrics);
        StreamOrigins streamOrigins = new StreamOrigins(clock::nowMillis, view::softwareVersionsOf);
        this.front = new GatewayServer(
                settings,
                adapter.headerNames(),
                loop,
                log,
                metrics,
                view,
                clock,
                crashes.history(),
                crashes.detector(),
                () -> PrometheusText.of(registry));
        this.holderRole = newHolderRole(incarnation, httpCaller, targetLimits, streamOrigins);
        this.engineTargets = newEngineTargets(targetLimits, streamOrigins);
        front.setHolderSelector(engineTargets, targetLimits, streamOrigins);
        this.peers = new PeerExchange(settings, adapter, front, holderRole, engineTargets);
        this.accounts = new ClientAccounts(
                settings.accounts(), view, front.keysInForce(), holderRole, engineTargets, clock, timer, metrics, log);
        front.setQuotaGate(accounts.gate());
        LeaseRecord self = new LeaseRecord(
                settings.nodeId(),
                incarnation,
                adapter.addressFormatter().apply(settings.peerAddress()),
                0,
                0,
                0,
                false);
        this.lease = new HolderLease(
                LEASE_TOPIC,
                self,
                LeaseTimings.withOrderGap(settings.orderGapMillis()),
                platformLog,
                timer,
                new SystemClocks(clock::nowMillis),
                new LeaseListener());
        LeaseHandOver handOver = new LeaseHandOver(
                lease, front::isCutOff, () -> !holderRole.peers().isEmpty(), timer, clock::nowMillis);
        front.onCutOffChange(handOver::cutOffChanged);
        this.planFollower = newPlanFollower();
        this.targetListener = new TargetTopicListener(view, adapter.targetDecoder(), clock, timer, log);
        this.targetFollower = newTargetFollower();
        view.onTargetsLoaded(streamOrigins::restartWatching);
        this.originRecords = newOriginRecords(streamOrigins);
    }

    private HolderRole newHolderRole(
            String incarnation, PooledHttpClient httpCaller, TargetLimits targetLimits, StreamOrigins streamOrigins) {
        return new HolderRole(
                settings,
                incarnation,
                view,
                new ObservedEngineClient(adapter.engineClientFactory().apply(httpCaller), front.targetObserver()),
                clock,
                timer,
                log,
                crashes.exchange(),
                targetLimits,
                targetSpeeds,
                streamOrigins);
    }

    private EngineTargetSelector newEngineTargets(TargetLimits targetLimits, StreamOrigins streamOrigins) {
        return new EngineTargetSelector(
                holderRole,
                view,
                loop,
                clock,
                timer,
                log,
                targetLimits,
                targetSpeeds,
                streamOrigins,
                new StreamOriginLookup(streamOrigins, platformLog, clock::nowMillis, log, holderRole::isHolding),
                new HolderConnectionListener());
    }

    private StreamOriginRecords newOriginRecords(StreamOrigins streamOrigins) {
        return new StreamOriginRecords(
                streamOrigins,
                platformLog,
                new TargetVersionHistory(adapter.targetTopic(), platformLog, targetListener::targetOf),
                new StreamOriginRecords.Fleet(
                        () -> view.plan().map(plan -> plan.services().keySet()).orElse(Set.of()),
                        () -> targetFollower.position()),
                timer,
                clock::nowMillis,
                log,
                holderRole::isHolding);
    }

    private TopicFollower newPlanFollower() {
        return new TopicFollower(
                adapter.planTopic(),
                platformLog,
                new TopicFollower.PollTimings(
                        PLAN_READ_GAP_MILLIS, settings.planUpdateMillis(), RETRY_MILLIS, MAX_RETRY_MILLIS),
                timer,
                new PlanTopicListener(view, adapter.planDecoder(), clock::nowMillis, log));
    }

    private CrashContainment newCrashContainment() {
        return new CrashContainment(
                settings,
                view,
                loop,
                platformLog,
                timer,
                clock::nowMillis,
                log,
                new CrashPeers(),
                this::readTargetsSoon);
    }

    private HolderRole holderRole() {
        return holderRole;
    }

    private void readTargetsSoon() {
        targetFollower.readSoon();
    }

    private TopicFollower newTargetFollower() {
        long targetReadGapMillis = Math.round(settings.targetRemovalMillis() * TARGET_READ_INTERVAL_RATIO);
        return new TopicFollower(
                adapter.targetTopic(),
                platformLog,
                new TopicFollower.PollTimings(targetReadGapMillis, 0, RETRY_MILLIS, MAX_RETRY_MILLIS),
                timer,
                targetListener);
    }

    private void handleLogRestored(long previousEra, long era) {
        log.log("log-restored", "eraBefore", previousEra, "era", era);
        registry.counter(LOG_RESTORES_COUNTER).inc();
        crashes.exchange().recordAgain();
        originRecords.recordAgain();
    }

    /** Starts the node and returns once it accepts connections. */
    public void start() {
        awaitBinding(settings.readinessAddress(), front.listenForReadiness(group));
        awaitBinding(settings.peerAddress(), holderRole.listen(group, settings.peerAddress(), accounts));
        awaitBinding(settings.callerAddress(), front.listen(group));
        front.listenForPeers(group)
                .ifPresent(bound -> awaitBinding(settings.peerRequestAddress().orElseThrow(), bound));
        loop.execute(() -> {
            log.log("node-started", "front", settings.callerAddress(), "log", settings.logAddress());
            planFollower.start();
            targetFollower.start();
            crashes.start();
            peers.reportOwnState();
            engineTargets.start();
            accounts.start();
            lease.start();
        });
    }

    /** Applies changed settings, as far as they can be changed in a running node. */
    public void reload(GatewaySettings latest) {
        graceMillis = latest.shutdownGraceMillis();
        loop.execute(() -> front.reload(latest));
    }

    /** Logs that the settings could not be reloaded; the previous settings stay in effect. */
    public void reloadFailed(String reason) {
        log.log("settings-unusable", "reason", reason);
    }

    /**
     * Resigns the lease, finishes requests in flight and stops; waits at most for what is left of the grace period.
     *
     * @param millisSinceSignal how long ago the process was told to stop
     */
    public void drainAndStop(long millisSinceSignal) {
        stop.run(
                millisSinceSignal,
                (signalledMillis, onDrained) -> loop.execute(() -> {
                    lease.resign();
                    front.drain(signalledMillis, onDrained);
                }));
    }

    /** Waits until the node has stopped. */
    public void awaitStop() {
        stop.await();
    }

    private void awaitBinding(InetSocketAddress address, ChannelFuture binding) {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw Reporter.addressUnusable(adapter.addressFormatter().apply(address), binding.cause());
        }
    }

    private final class LeaseListener implements HolderLeaseListener {
        private final UnusableEntryLog unusableRecords =
                new UnusableEntryLog(log, "lease-record", "key", clock::nowMillis);

        @Override
        public void recordUnusable(String key, byte[] value, String reason) {
            unusableRecords.unusable(key, value, reason);
        }

        @Override
        public void claimed(long fencingNumber) {
            log.log("lease-claimed", "fencingNumber", fencingNumber);
            holderRole.leaseClaimed(lease);
            accounts.leaseClaimed();
            originRecords.leaseClaimed();
        }

        @Override
        public void expired() {
            log.log("lease-expired", "fencingNumber", lease.fencingNumber());
        }

        @Override
        public void lost(String reason) {
            log.log("lease-lost", "why", reason);
            holderRole.leaseLost();
        }

        @Override
        public void holderFound(LeaseRecord record) {
            engineTargets.followHolder(adapter.addressParser().apply(record.address()), record.incarnation());
        }

        @Override
        public boolean isHolderResponding() {
            return engineTargets.isHolderResponding();
        }

        @Override
        public boolean reachesTargets() {
            return !front.isCutOff();
        }
    }

    private final class HolderConnectionListener implements HolderListener {
        @Override
        public void connected() {
            peers.reportOwnState();
        }

        @Override
        public void peersReported(List<HolderMessage.PeerState> reported) {
            peers.peersReported(reported);
        }

        @Override
        public void holderEnded(String incarnation) {
            lease.holderEnded(incarnation);
        }

        @Override
        public void nodesReported(Nodes nodes) {
            front.recordNodes(nodes.count(), nodes.position());
            accounts.recordNodeCount(nodes.count());
        }

        @Override
        public void accountMessageReceived(AccountMessage message) {
            accounts.receivedFromHolder(message);
        }

        @Override
        public void crashesAnnounced(HolderMessage.TargetCrashes announcement) {
            crashes.exchange().announced(announcement);
        }
    }

    private final class CrashPeers implements CrashExchange.Peers {
        @Override
        public boolean isHolding() {
            return holderRole.isHolding();
        }

        @Override
        public boolean isHolderResponding() {
            return engineTargets.isHolderResponding();
        }

        @Override
        public void broadcastCleared(Suspect.PromptPart part) {
            holderRole.broadcastCleared(part);
        }

        @Override
        public void broadcast(List<TargetCrash> crashes) {
            holderRole.broadcastCrashes(crashes);
        }

        @Override
        public void reportToHolder(List<TargetCrash> crashes) {
            engineTargets.reportCrashes(crashes);
        }
    }
}
