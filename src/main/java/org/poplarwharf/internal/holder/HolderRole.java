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
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.dispatch.DispatchActions;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.Dispatcher;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.ServiceSpec;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.lease.LeaseKeeper;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Takes the other nodes' connections and, while this node holds the lease, decides for all of them.
 *
 * <p>Invariants: an order goes out only while the lease holds at that moment; what is granted to a node is forgotten
 * when its connection ends. Confined to the event loop.
 */
public final class HolderRole implements Links.Handler {
    private static final long BEAT_MILLIS = 500;

    /** While something waits for a load, as often as a caller could notice. */
    private static final long BUSY_TICK_MILLIS = 20;

    private static final long IDLE_TICK_MILLIS = 250;

    private final GatewaySettings settings;
    private final String incarnation;
    private final FleetView view;
    private final EngineControl engines;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final Set<Links.Link> links = new LinkedHashSet<>();
    private final Map<String, Dispatcher> dispatchers = new LinkedHashMap<>();
    private final Map<String, Origin> origins = new HashMap<>();
    private Optional<LeaseKeeper> lease = Optional.empty();
    private boolean ticking;
    private boolean viewPending;

    /** Where a wish came from. */
    private record Origin(String service, Optional<Links.Link> link, Optional<Answers> local) {}

    /** Takes what is decided for this node's own wishes. */
    public interface Answers {
        void granted(String key, String targetId, String backupId);

        void refused(String key, String reason, long retryAfterMillis);
    }

    public HolderRole(
            GatewaySettings settings,
            String incarnation,
            FleetView view,
            EngineControl engines,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.view = view;
        this.engines = engines;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
        view.onChange(this::viewChangedSoon);
    }

    /** Listens for other nodes. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        timer.after(BEAT_MILLIS, this::beat);
        return Links.listen(group, address, this);
    }

    /** This node holds the lease from now on; where it decided before without a break, it goes on with what it knows. */
    public void claimed(LeaseKeeper held) {
        if (lease.isEmpty()) {
            dispatchers.clear();
            origins.clear();
        }
        lease = Optional.of(held);
        viewChanged();
        links.forEach(this::sendBeat);
        if (!ticking) {
            ticking = true;
            tick();
        }
    }

    /** This node no longer holds the lease. */
    public void lost() {
        lease = Optional.empty();
        dispatchers.clear();
        origins.clear();
        links.forEach(this::sendBeat);
    }

    /** Tells whether this node decides. */
    public boolean holding() {
        return lease.isPresent();
    }

    private boolean mayOrder() {
        return lease.isPresent() && lease.get().mayOrder();
    }

    public int nodes() {
        return links.size() + 1;
    }

    /** Takes a wish of this node. */
    public void ask(DispatchRequest wish, Answers answers) {
        wish(wish, new Origin(wish.service(), Optional.empty(), Optional.of(answers)));
    }

    public void withdraw(String key) {
        decider(key).ifPresent(dispatcher -> dispatcher.withdraw(key, clock.nowMillis()));
        origins.remove(key);
    }

    public void outcome(String key, RunOutcome outcome) {
        decider(key).ifPresent(dispatcher -> dispatcher.recordOutcome(key, outcome, clock.nowMillis()));
        if (!(outcome instanceof RunOutcome.FirstEventReceived)) {
            origins.remove(key);
        }
    }

    public void ended(String key) {
        decider(key).ifPresent(dispatcher -> dispatcher.endRun(key, clock.nowMillis()));
        origins.remove(key);
    }

    @Override
    public void up(Links.Link link) {
        links.add(link);
        sendBeat(link);
    }

    @Override
    public void down(Links.Link link) {
        links.remove(link);
        Set<String> keys = new HashSet<>();
        origins.forEach((key, origin) -> {
            if (origin.link().filter(from -> from == link).isPresent()) {
                keys.add(key);
            }
        });
        for (String key : keys) {
            outcome(key, new RunOutcome.Abandoned());
            withdraw(key);
        }
    }

    @Override
    public void message(Links.Link link, LinkMessage message) {
        switch (message) {
            case LinkMessage.Ask ask -> wish(wish(ask), new Origin(ask.service(), Optional.of(link), Optional.empty()));
            case LinkMessage.Withdraw withdrawn -> withdraw(withdrawn.key());
            case LinkMessage.Outcome end -> outcome(end.key(), LinkMessage.outcome(end));
            case LinkMessage.Ended end -> ended(end.key());
            case LinkMessage.Beat beat -> misdirected(link);
            case LinkMessage.Granted granted -> misdirected(link);
            case LinkMessage.Refused refused -> misdirected(link);
        }
    }

    /** Those that follow a holder don't decide; what does is no follower. */
    private static void misdirected(Links.Link from) {
        from.close();
    }

    /** Returns who decides on a wish that this node took in. */
    private Optional<Dispatcher> decider(String key) {
        return Optional.ofNullable(origins.get(key)).map(origin -> dispatchers.get(origin.service()));
    }

    private DispatchRequest wish(LinkMessage.Ask ask) {
        long nowMillis = clock.nowMillis();
        RequestTraits traits = new RequestTraits(
                "",
                OptionalLong.empty(),
                Optional.of(ask.model()).filter(model -> !model.isEmpty()),
                Optional.of(ask.adapter()).filter(adapter -> !adapter.isEmpty()),
                ask.promptTokens(),
                ask.maxOutputTokens(),
                LinkMessage.parts(ask),
                OptionalLong.empty());
        return new DispatchRequest(
                ask.key(),
                ask.zone(),
                ask.service(),
                traits,
                ask.priority(),
                nowMillis + ask.millisLeft(),
                nowMillis + ask.objectiveMillisLeft(),
                ask.wantsBackup(),
                Set.copyOf(ask.excluded()));
    }

    private void wish(DispatchRequest wish, Origin origin) {
        Dispatcher dispatcher = dispatchers.get(wish.service());
        if (lease.isEmpty() || dispatcher == null) {
            origin.link().ifPresent(this::sendBeat);
            origin.local().ifPresent(answers -> answers.refused(wish.key(), "no-holder", BEAT_MILLIS));
            return;
        }
        origins.put(wish.key(), origin);
        dispatcher.setOrdersAllowed(mayOrder());
        dispatcher.submit(wish, clock.nowMillis());
    }

    /** Entries come many at a time; they are looked at together. */
    private void viewChangedSoon() {
        if (!viewPending && lease.isPresent()) {
            viewPending = true;
            timer.after(0, () -> {
                viewPending = false;
                viewChanged();
            });
        }
    }

    private void viewChanged() {
        if (lease.isEmpty()) {
            return;
        }
        for (ServiceSpec service :
                view.plan().map(FleetPlan::services).orElse(Map.of()).values()) {
            service.engine().ifPresent(spec -> dispatcher(service.name(), spec));
        }
    }

    private void dispatcher(String service, EngineSpec spec) {
        Dispatcher dispatcher = dispatchers.computeIfAbsent(service, name -> {
            Dispatcher.LoadLimits limits =
                    new Dispatcher.LoadLimits(settings.loadWindowMillis(), settings.loadWindowFactor());
            return new Dispatcher(spec, limits, new Actions(name));
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
        boolean busy = false;
        try {
            for (Dispatcher dispatcher : List.copyOf(dispatchers.values())) {
                dispatcher.setOrdersAllowed(mayOrder());
                dispatcher.tick(clock.nowMillis());
                busy |= dispatcher.hasPendingWork();
            }
        } finally {
            timer.after(busy ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS, this::tick);
        }
    }

    private void beat() {
        links.forEach(this::sendBeat);
        timer.after(BEAT_MILLIS, this::beat);
    }

    private void sendBeat(Links.Link link) {
        link.send(new LinkMessage.Beat(settings.nodeId(), incarnation, holding(), nodes()));
    }

    /** Carries out what a dispatcher decides. */
    private final class Actions implements DispatchActions {
        private final String service;

        Actions(String service) {
            this.service = service;
        }

        @Override
        public void grant(DispatchRequest wish, Target target, Optional<Target> backup) {
            Origin origin = origins.get(wish.key());
            if (origin == null) {
                return;
            }
            String backupId = backup.map(Target::id).orElse("");
            origin.link().ifPresent(link -> link.send(new LinkMessage.Granted(wish.key(), target.id(), backupId)));
            origin.local().ifPresent(answers -> answers.granted(wish.key(), target.id(), backupId));
        }

        @Override
        public void refuse(DispatchRequest wish, String reason, long retryAfterMillis) {
            Origin origin = origins.remove(wish.key());
            if (origin == null) {
                return;
            }
            origin.link().ifPresent(link -> link.send(new LinkMessage.Refused(wish.key(), reason, retryAfterMillis)));
            origin.local().ifPresent(answers -> answers.refused(wish.key(), reason, retryAfterMillis));
        }

        @Override
        public void logDecision(String event, Object... fields) {
            log.log(event, fields);
        }

        @Override
        public void sendOrder(EngineOrder order) {
            Dispatcher dispatcher = dispatchers.get(service);
            if (!mayOrder()) {
                timer.after(0, () -> answer(dispatcher, order, OrderResult.REFUSED));
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
            engines.order(order, settings.nodeId(), fencingNumber, answer -> answer(dispatcher, order, answer));
        }

        private void answer(Dispatcher dispatcher, EngineOrder order, OrderResult answer) {
            logOrder("order-answered", order, "answer", answer);
            if (dispatchers.get(service) == dispatcher) {
                dispatcher.handleOrderResult(order, answer, clock.nowMillis());
            }
        }

        private void logOrder(String event, EngineOrder order, Object... more) {
            List<Object> fields = new ArrayList<>();
            Collections.addAll(fields, "target", order.target().id(), "kind", order.kind(), "model", order.model());
            Collections.addAll(fields, "adapter", order.adapter().orElse(""));
            Collections.addAll(fields, more);
            log.log(event, fields.toArray());
        }

        @Override
        public void requestReport(Target target) {
            Dispatcher dispatcher = dispatchers.get(service);
            engines.report(target, report -> {
                log.log(
                        "target-reported",
                        "target",
                        target.id(),
                        "answered",
                        report.isPresent(),
                        "ordersAccepted",
                        report.map(each -> each.ordersAccepted()).orElse(-1L),
                        "busy",
                        report.map(each -> each.orderInProgress()).orElse(false));
                if (dispatchers.get(service) == dispatcher && dispatcher != null) {
                    dispatcher.handleReport(target, report, clock.nowMillis());
                }
            });
        }
    }
}
