package org.poplarwharf.internal.holder;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.DispatchActions;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.Dispatcher;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RoutedService;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Accepts connections from the other nodes and decides on placement for all nodes while this node holds the lease.
 *
 * <p>Invariants: an order is sent only if this node holds the lease at that moment; all grants of a node are released
 * when its connection closes. Confined to the event loop.
 */
public final class HolderRole implements HolderConnections.Handler {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

    /** Interval while requests wait for a load; short enough that callers do not notice the delay. */
    private static final long BUSY_TICK_INTERVAL_MILLIS = 20;

    private static final long IDLE_TICK_INTERVAL_MILLIS = 250;

    /** Keeps messages well below the maximum size of a frame. */
    private static final int MAX_CRASHES_PER_MESSAGE = 500;

    private final GatewaySettings settings;
    private final String incarnation;
    private final FleetView view;
    private final EngineClient engines;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final CrashListener crashListener;
    private final Set<HolderConnections.Connection> connections = new LinkedHashSet<>();
    private final Map<String, Dispatcher> dispatchers = new LinkedHashMap<>();
    private final Map<String, RequestSource> sources = new HashMap<>();
    private Optional<HolderLease> lease = Optional.empty();
    private boolean ticking;
    private boolean viewUpdateScheduled;

    /** The node that a request came from: another node's connection or this node's own listener. */
    private record RequestSource(
            String service, Optional<HolderConnections.Connection> connection, Optional<PlacementListener> listener) {}

    /** Receives the decisions on this node's own requests. */
    public interface PlacementListener {
        void granted(String key, String targetId, String backupId);

        void refused(String key, String reason, long retryAfterMillis);
    }

    /** Exchanges requests that have crashed targets with the connected nodes. */
    public interface CrashListener {
        /** Called with crashes that a node has detected. */
        void crashesReported(List<TargetCrash> crashes);

        /** Returns the crashes of refused requests, for a node that has just connected. */
        List<TargetCrash> knownCrashes();
    }

    public HolderRole(
            GatewaySettings settings,
            String incarnation,
            FleetView view,
            EngineClient engines,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log,
            CrashListener crashListener) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.view = view;
        this.engines = engines;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
        this.crashListener = crashListener;
        view.onChange(this::scheduleViewUpdate);
    }

    /** Starts to accept connections from other nodes and to send heartbeats to them. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        timer.schedule(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeats);
        return HolderConnections.listen(group, address, this);
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
        updateDispatchers();
        connections.forEach(this::sendHeartbeat);
        if (!ticking) {
            ticking = true;
            tick();
        }
    }

    /** Stops deciding and drops all state, after this node has lost the lease. */
    public void leaseLost() {
        lease = Optional.empty();
        dispatchers.clear();
        sources.clear();
        connections.forEach(this::sendHeartbeat);
    }

    /** Returns whether this node decides. */
    public boolean isHolding() {
        return lease.isPresent();
    }

    private boolean mayOrder() {
        return lease.isPresent() && lease.get().mayOrder();
    }

    public int nodeCount() {
        return connections.size() + 1;
    }

    /** Submits a request of this node. */
    public void submit(DispatchRequest request, PlacementListener listener) {
        dispatch(request, new RequestSource(request.service(), Optional.empty(), Optional.of(listener)));
    }

    public void withdraw(String key) {
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.withdraw(key, clock.nowMillis()));
        sources.remove(key);
    }

    public void recordOutcome(String key, RunOutcome outcome) {
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.recordOutcome(key, outcome, clock.nowMillis()));
        if (!(outcome instanceof RunOutcome.FirstEventReceived)) {
            sources.remove(key);
        }
    }

    public void recordEnd(String key) {
        dispatcherOf(key).ifPresent(dispatcher -> dispatcher.endRun(key, clock.nowMillis()));
        sources.remove(key);
    }

    @Override
    public void opened(HolderConnections.Connection connection) {
        connections.add(connection);
        sendHeartbeat(connection);
        sendCrashes(connection, crashListener.knownCrashes());
    }

    /** Sends crashes of targets to all other nodes that are connected. */
    public void broadcastCrashes(List<TargetCrash> crashes) {
        connections.forEach(connection -> sendCrashes(connection, crashes));
    }

    private static void sendCrashes(HolderConnections.Connection connection, List<TargetCrash> crashes) {
        for (int from = 0; from < crashes.size(); from += MAX_CRASHES_PER_MESSAGE) {
            int to = Math.min(crashes.size(), from + MAX_CRASHES_PER_MESSAGE);
            connection.send(new HolderMessage.TargetCrashes(crashes.subList(from, to)));
        }
    }

    @Override
    public void closed(HolderConnections.Connection connection) {
        connections.remove(connection);
        Set<String> keys = new HashSet<>();
        sources.forEach((key, source) -> {
            if (source.connection().filter(other -> other == connection).isPresent()) {
                keys.add(key);
            }
        });
        for (String key : keys) {
            recordOutcome(key, new RunOutcome.Abandoned());
            withdraw(key);
        }
    }

    @Override
    public void received(HolderConnections.Connection connection, HolderMessage message) {
        switch (message) {
            case HolderMessage.Submit submit ->
                dispatch(
                        HolderMessage.dispatchRequest(submit, clock.nowMillis()),
                        new RequestSource(submit.service(), Optional.of(connection), Optional.empty()));
            case HolderMessage.Withdraw withdraw -> withdraw(withdraw.key());
            case HolderMessage.Outcome outcome -> recordOutcome(outcome.key(), HolderMessage.runOutcome(outcome));
            case HolderMessage.Ended ended -> recordEnd(ended.key());
            case HolderMessage.TargetCrashes report -> crashListener.crashesReported(report.crashes());
            case HolderMessage.Heartbeat heartbeat -> closeUnexpected(connection);
            case HolderMessage.Granted granted -> closeUnexpected(connection);
            case HolderMessage.Refused refused -> closeUnexpected(connection);
        }
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
        if (lease.isEmpty() || dispatcher == null) {
            source.connection().ifPresent(this::sendHeartbeat);
            source.listener()
                    .ifPresent(listener -> listener.refused(request.key(), "no-holder", HEARTBEAT_INTERVAL_MILLIS));
            return;
        }
        sources.put(request.key(), source);
        dispatcher.setOrdersAllowed(mayOrder());
        dispatcher.submit(request, clock.nowMillis());
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
            return new Dispatcher(spec, limits, new HolderDispatchActions(name));
        });
        dispatcher.updateSpec(spec);
        dispatcher.setOrdersAllowed(mayOrder());
        List<Target> targets = view.targetsOf(service);
        dispatcher.updateTargets(targets, clock.nowMillis());
    }

    private void tick() {
        if (lease.isEmpty()) {
            ticking = false;
            return;
        }
        boolean hasWork = false;
        try {
            for (Dispatcher dispatcher : List.copyOf(dispatchers.values())) {
                dispatcher.setOrdersAllowed(mayOrder());
                dispatcher.tick(clock.nowMillis());
                hasWork |= dispatcher.hasPendingWork();
            }
        } finally {
            timer.schedule(hasWork ? BUSY_TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS, this::tick);
        }
    }

    private void sendHeartbeats() {
        connections.forEach(this::sendHeartbeat);
        timer.schedule(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeats);
    }

    private void sendHeartbeat(HolderConnections.Connection connection) {
        connection.send(new HolderMessage.Heartbeat(settings.nodeId(), incarnation, isHolding(), nodeCount()));
    }

    /** Sends the decisions of a dispatcher to the nodes and engines that they concern. */
    private final class HolderDispatchActions implements DispatchActions {
        private final String service;

        HolderDispatchActions(String service) {
            this.service = service;
        }

        @Override
        public void grant(DispatchRequest request, Target target, Optional<Target> backup) {
            RequestSource source = sources.get(request.key());
            if (source == null) {
                return;
            }
            String backupId = backup.map(Target::id).orElse("");
            source.connection()
                    .ifPresent(connection ->
                            connection.send(new HolderMessage.Granted(request.key(), target.id(), backupId)));
            source.listener().ifPresent(listener -> listener.granted(request.key(), target.id(), backupId));
        }

        @Override
        public void refuse(DispatchRequest request, String reason, long retryAfterMillis) {
            RequestSource source = sources.remove(request.key());
            if (source == null) {
                return;
            }
            source.connection()
                    .ifPresent(connection ->
                            connection.send(new HolderMessage.Refused(request.key(), reason, retryAfterMillis)));
            source.listener().ifPresent(listener -> listener.refused(request.key(), reason, retryAfterMillis));
        }

        @Override
        public void logDecision(String event, Object... fields) {
            log.log(event, fields);
        }

        @Override
        public void sendOrder(EngineOrder order) {
            Dispatcher dispatcher = dispatchers.get(service);
            if (!mayOrder()) {
                timer.schedule(0, () -> handleOrderResult(dispatcher, order, OrderResult.REFUSED));
                return;
            }
            long fencingNumber = lease.get().fencingNumber();
            logOrder(
                    "order-sent",
                    order,
                    "ordersAccepted",
                    order.expectedOrdersAccepted(),
                    "fencingNumber",
                    fencingNumber);
            engines.sendOrder(
                    order, settings.nodeId(), fencingNumber, result -> handleOrderResult(dispatcher, order, result));
        }

        private void handleOrderResult(Dispatcher dispatcher, EngineOrder order, OrderResult result) {
            logOrder("order-answered", order, "answer", result);
            if (dispatchers.get(service) == dispatcher) {
                dispatcher.handleOrderResult(order, result, clock.nowMillis());
            }
        }

        private void logOrder(String event, EngineOrder order, Object... moreFields) {
            List<Object> fields = new ArrayList<>();
            Collections.addAll(fields, "target", order.target().id(), "kind", order.kind(), "model", order.model());
            Collections.addAll(fields, "adapter", order.adapter().orElse(""));
            Collections.addAll(fields, moreFields);
            log.log(event, fields.toArray());
        }

        @Override
        public void requestReport(Target target) {
            Dispatcher dispatcher = dispatchers.get(service);
            engines.fetchReport(target, report -> {
                log.log(
                        "target-reported",
                        "target",
                        target.id(),
                        "answered",
                        report.isPresent(),
                        "ordersAccepted",
                        report.map(received -> received.ordersAccepted()).orElse(-1L),
                        "busy",
                        report.map(received -> received.orderInProgress()).orElse(false));
                if (dispatchers.get(service) == dispatcher && dispatcher != null) {
                    dispatcher.handleReport(target, report, clock.nowMillis());
                }
            });
        }
    }
}
