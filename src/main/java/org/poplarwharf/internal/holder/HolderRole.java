package org.poplarwharf.internal.holder;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.DispatchActions;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.Dispatcher;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.LimitedTargetDispatcher;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RoutedService;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Accepts connections from the other nodes and decides on placement for all nodes while this node holds the lease.
 *
 * <p>Invariants: all grants of a node are released when its connection closes. Confined to the event loop.
 */
public final class HolderRole implements HolderConnections.Handler {
    private final GatewaySettings settings;
    private final FleetView view;
    private final EngineOrderSender orderSender;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DispatchTicker ticker;
    private final DecisionLog log;
    private final CrashListener crashListener;
    private final TargetLimits targetLimits;
    private final TargetSpeeds targetSpeeds;
    private final LimitedTargetDispatcher limitedTargets;
    private final StreamOriginSearch originSearch;
    private final HolderAnnouncer announcer;
    private final Map<String, Dispatcher> dispatchers = new LinkedHashMap<>();
    private final Map<String, RequestSource> sources = new HashMap<>();
    private Optional<HolderLease> lease = Optional.empty();
    private boolean viewUpdateScheduled;

    public HolderRole(
            GatewaySettings settings,
            String incarnation,
            FleetView view,
            EngineClient engines,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log,
            CrashListener crashListener,
            TargetLimits targetLimits,
            TargetSpeeds targetSpeeds,
            StreamOrigins streamOrigins) {
        this.settings = settings;
        this.view = view;
        this.announcer = new HolderAnnouncer(
                settings.nodeId(), incarnation, this::isHolding, targetLimits, targetSpeeds, timer, clock::nowMillis);
        this.originSearch = new StreamOriginSearch(streamOrigins, timer, announcer::askForStream);
        this.orderSender = new EngineOrderSender(settings.nodeId(), engines, timer, log);
        this.clock = clock;
        this.timer = timer;
        this.ticker = new DispatchTicker(timer, this::isHolding, this::tick);
        this.log = log;
        this.crashListener = crashListener;
        this.targetLimits = targetLimits;
        this.targetSpeeds = targetSpeeds;
        this.limitedTargets = new LimitedTargetDispatcher(targetLimits, new HolderDispatchActions(""));
        view.onChange(this::scheduleViewUpdate);
    }

    /** Starts to accept connections from other nodes, whose events go to the handler, and to send heartbeats to them. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, HolderConnections.Handler handler) {
        announcer.start();
        return HolderConnections.listen(group, address, handler, settings.maxDescriptorCount() / 2);
    }

    /**
     * Starts to decide, after this node has acquired the lease. Keeps the existing state if the lease of this node had
     * only expired and no other node has claimed it in between.
     */
    public void leaseClaimed(HolderLease acquiredLease) {
        if (lease.isEmpty()) {
            dispatchers.clear();
            sources.clear();
        }
        lease = Optional.of(acquiredLease);
        targetLimits.restartPacing(clock.nowMillis());
        updateDispatchers();
        announcer.sendHeartbeats(true);
        ticker.start();
    }

    /** Stops deciding and drops all state, after this node has lost the lease. */
    public void leaseLost() {
        lease = Optional.empty();
        dispatchers.clear();
        sources.clear();
        announcer.sendHeartbeats(false);
    }

    /** Returns whether this node decides. */
    public boolean isHolding() {
        return lease.isPresent();
    }

    /** Returns whether this node decides and no other node can. */
    boolean isSoleHolder() {
        return lease.isPresent() && lease.get().isSoleHolder();
    }

    private boolean mayOrder() {
        return lease.isPresent() && lease.get().mayOrder();
    }

    /** Records whether this node reaches targets. */
    void recordOwnState(HolderMessage.PeerState state) {
        announcer.recordOwnState(state);
    }

    /** Returns some other nodes that reach targets. */
    List<HolderMessage.PeerState> peers() {
        return announcer.peers();
    }

    public HolderListener.Nodes nodes() {
        return announcer.nodes();
    }

    /** Submits a request of this node. */
    public void submit(DispatchRequest request, PlacementListener listener) {
        dispatch(request, RequestSource.local(request, listener));
    }

    public void withdraw(String key) {
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.withdraw(key, clock.nowMillis()));
        limitedTargets.end(key);
        sources.remove(key);
    }

    public void recordOutcome(String key, RunOutcome outcome) {
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.recordOutcome(key, outcome, clock.nowMillis()));
        limitedTargets.recordOutcome(key, outcome);
        if (outcome.endsRun()) {
            sources.remove(key);
        }
    }

    /** Records that a run has ended normally, and whether its response was a success. */
    public void recordEnd(String key, boolean successful) {
        if (successful && sources.containsKey(key)) {
            crashListener.runSucceeded(sources.get(key).suspects());
        }
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.endRun(key, clock.nowMillis()));
        limitedTargets.end(key);
        sources.remove(key);
    }

    @Override
    public void opened(HolderConnections.Connection connection) {
        announcer.add(connection);
        announcer.sendCrashes(connection, crashListener.knownCrashes());
        originSearch.soughtStreamIds().forEach(streamId -> announcer.askForStream(connection, streamId));
    }

    /** Tells all other nodes that are connected that a part of a prompt is no longer refused. */
    void broadcastCleared(Suspect.PromptPart part) {
        announcer.broadcastCleared(part);
    }

    /** Sends crashes of targets to all other nodes that are connected. */
    public void broadcastCrashes(List<TargetCrash> crashes) {
        announcer.broadcastCrashes(crashes);
    }

    @Override
    public void closed(HolderConnections.Connection connection, boolean endedByPeer) {
        announcer.remove(connection);
        List<String> keys = sources.entrySet().stream()
                .filter(entry -> entry.getValue().isFrom(connection))
                .map(Map.Entry::getKey)
                .toList();
        for (String key : keys) {
            recordOutcome(key, new RunOutcome.Abandoned());
            withdraw(key);
        }
    }

    @Override
    public void received(HolderConnections.Connection connection, HolderMessage message) {
        switch (message) {
            case HolderMessage.Submit submit -> {
                DispatchRequest request =
                        HolderMessage.dispatchRequest(submit, clock.nowMillis()).withNode(connection.id());
                dispatch(request, RequestSource.remote(request, connection));
            }
            case HolderMessage.Withdraw withdraw -> withdraw(withdraw.key());
            case HolderMessage.Outcome outcome -> {
                outcome.peer().ifPresent(state -> announcer.recordPeer(connection, state));
                handleOutcome(outcome);
            }
            case HolderMessage.Ended ended ->
                recordEnd(ended.key(), ended.successful().orElse(false));
            case HolderMessage.TargetCrashes report -> crashListener.crashesReported(report.crashes());
            case HolderMessage.Heartbeat heartbeat -> closeUnexpected(connection);
            case HolderMessage.Granted granted -> closeUnexpected(connection);
            case HolderMessage.Refused refused -> closeUnexpected(connection);
            case AccountMessage account -> closeUnexpected(connection);
        }
    }

    private void handleOutcome(HolderMessage.Outcome outcome) {
        outcome.namedLimit()
                .ifPresent(limit ->
                        targetLimits.recordNamed(limit.targetId(), limit.requestsPerSecond(), clock.nowMillis()));
        outcome.origin().ifPresent(originSearch::record);
        outcome.leavingTarget()
                .flatMap(leaving -> view.target(leaving.targetId())
                        .filter(target -> target.startedAtMillis() == leaving.startedAtMillis()))
                .ifPresent(view::markLeaving);
        recordOutcome(outcome.key(), HolderMessage.runOutcome(outcome));
    }

    /** Tells other nodes the origin of a stream that this node forwards. */
    void copyOrigin(StreamOrigin origin) {
        announcer.copyOrigin(origin);
    }

    /** Sends the limits of targets to the other nodes, soon after they have changed. */
    public void limitsChanged() {
        announcer.limitsChanged();
    }

    /** Closes a connection on which a node sent a message that only the holder sends. */
    private static void closeUnexpected(HolderConnections.Connection sender) {
        sender.close();
    }

    /** Returns the dispatcher of a request that was submitted to this node. */
    private Optional<Dispatcher> dispatcherOf(String key) {
        return Optional.ofNullable(sources.get(key)).map(source -> dispatchers.get(source.service()));
    }

    private void dispatch(DispatchRequest request, RequestSource source) {
        Dispatcher dispatcher = dispatchers.get(request.service());
        if (lease.isEmpty()) {
            source.connection().ifPresent(connection -> announcer.sendHeartbeat(connection, false));
            source.listener()
                    .ifPresent(listener ->
                            listener.refused(request.key(), "no-holder", HolderAnnouncer.HEARTBEAT_INTERVAL_MILLIS));
            return;
        }
        sources.put(request.key(), source);
        if (request.hasUnknownStreamOrigin()) {
            findOriginAndDispatch(request, source);
            return;
        }
        if (dispatcher == null) {
            limitedTargets.submit(request, view.targetsOf(request.service()), clock.nowMillis());
            return;
        }
        dispatcher.setOrdersAllowed(mayOrder());
        dispatcher.submit(request, clock.nowMillis());
        if (settings.ranksByCost() && dispatcher.hasPendingWork()) {
            ticker.workAdded();
        }
    }

    private void findOriginAndDispatch(DispatchRequest request, RequestSource source) {
        String streamId = request.continuation().orElseThrow().streamId();
        originSearch.find(streamId, request.service(), request.deadlineMillis() - clock.nowMillis(), version -> {
            if (sources.get(request.key()) != source) {
                return; // Withdrawn meanwhile.
            }
            if (version.isPresent()) {
                dispatch(request.withSoftwareVersion(version.get()), source);
            } else {
                sources.remove(request.key());
                source.refuse(request.key(), "stream-origin-unknown", HolderAnnouncer.HEARTBEAT_INTERVAL_MILLIS);
            }
        });
    }

    /** Schedules one update for all entries that change in the same turn of the event loop. */
    private void scheduleViewUpdate() {
        if (!viewUpdateScheduled && lease.isPresent()) {
            viewUpdateScheduled = true;
            timer.schedule(0, () -> {
                viewUpdateScheduled = false;
                updateDispatchers();
            });
        }
    }

    private void updateDispatchers() {
        if (lease.isEmpty()) {
            return;
        }
        for (RoutedService service :
                view.plan().map(FleetPlan::services).orElse(Map.of()).values()) {
            service.engine().ifPresent(spec -> updateDispatcher(service.name(), spec));
        }
    }

    private void updateDispatcher(String service, EngineSpec spec) {
        Dispatcher dispatcher = dispatchers.computeIfAbsent(service, name -> {
            Dispatcher.LoadLimits limits =
                    new Dispatcher.LoadLimits(settings.loadWindowMillis(), settings.loadWindowFactor());
            return new Dispatcher(
                    spec,
                    limits,
                    targetLimits,
                    targetSpeeds,
                    announcer.requestNodes(),
                    new HolderDispatchActions(name),
                    settings.ranksByCost());
        });
        dispatcher.updateSpec(spec);
        dispatcher.setOrdersAllowed(mayOrder());
        dispatcher.updateTargets(view.targetsOf(service), clock.nowMillis());
    }

    private boolean tick() {
        boolean hasWork = false;
        for (Dispatcher dispatcher : List.copyOf(dispatchers.values())) {
            dispatcher.setOrdersAllowed(mayOrder());
            dispatcher.tick(clock.nowMillis());
            hasWork |= dispatcher.hasPendingWork();
        }
        return hasWork;
    }

    /** Sends the decisions of a dispatcher to the nodes and engines that they concern. */
    private final class HolderDispatchActions implements DispatchActions {
        private final String service;

        HolderDispatchActions(String service) {
            this.service = service;
        }

        @Override
        public void grant(DispatchRequest request, Target target, Optional<Target> backup) {
            Optional.ofNullable(sources.get(request.key())).ifPresent(source -> source.grant(request, target, backup));
        }

        @Override
        public void refuse(DispatchRequest request, String reason, long retryAfterMillis) {
            Optional.ofNullable(sources.remove(request.key()))
                    .ifPresent(source -> source.refuse(request.key(), reason, retryAfterMillis));
        }

        @Override
        public void logDecision(String event, Object... fields) {
            log.log(event, fields);
        }

        @Override
        public void sendOrder(EngineOrder order) {
            Dispatcher dispatcher = dispatchers.get(service);
            orderSender.send(order, lease, result -> {
                if (dispatchers.get(service) == dispatcher) {
                    dispatcher.handleOrderResult(order, result, clock.nowMillis());
                }
            });
        }

        @Override
        public void requestReport(Target target) {
            Dispatcher dispatcher = dispatchers.get(service);
            orderSender.requestReport(target, report -> {
                if (dispatchers.get(service) == dispatcher && dispatcher != null) {
                    dispatcher.handleReport(target, report, clock.nowMillis());
                }
            });
        }
    }
}
