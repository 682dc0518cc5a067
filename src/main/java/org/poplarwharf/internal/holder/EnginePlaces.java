package org.poplarwharf.internal.holder;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.Places;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Places requests to engines: by the holder while it answers, by what targets say they hold while it doesn't.
 *
 * <p>Invariant: each request is asked for in one way at a time; one that waits for a holder waits for no more than a part
 * of its time. Confined to the event loop.
 */
public final class EnginePlaces implements Places, Links.Handler, HolderRole.Answers {
    /** A holder that has been silent for two beats and a half is not waited for. */
    private static final long SILENCE_MILLIS = 1_250;

    private static final long LOOK_MILLIS = 100;
    private static final long RECONNECT_MILLIS = 250;

    /** A request that needs a holder waits for one for this share of its time, then leaves time for a return. */
    private static final double LONGEST_WAIT_SHARE = 0.35;

    private static final long RETRY_AFTER_MILLIS = 700;

    /** About as long as a target that crashed is still listed. */
    private static final long SUSPICION_MILLIS = 2_000;

    private final HolderRole local;
    private final FleetView view;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final Listener listener;
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Long> suspectUntilMillis = new HashMap<>();
    private Optional<InetSocketAddress> holderAddress = Optional.empty();
    private String holderIncarnation = "";
    private Optional<Links.Link> link = Optional.empty();
    private boolean connecting;
    private boolean holderHolds;
    private long heardMillis;
    private boolean answeredBefore;

    private enum Way {
        LOCAL,
        LINK,
        NONE
    }

    private static final class Pending {
        private final DispatchRequest wish;
        private final Asker asker;
        private final long sinceMillis;
        private Way way = Way.NONE;

        Pending(DispatchRequest wish, Asker asker, long sinceMillis) {
            this.wish = wish;
            this.asker = asker;
            this.sinceMillis = sinceMillis;
        }
    }

    private record Run(Way way, String targetId) {}

    /** What the link to the holder tells. */
    public interface Listener {
        /** The holder's process has ended, or another one runs in its place. */
        void holderGone(String incarnation);

        /** So many nodes follow the holder. */
        void nodes(int count);
    }

    public EnginePlaces(
            HolderRole local,
            FleetView view,
            EventLoop loop,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log,
            Listener listener) {
        this.local = local;
        this.view = view;
        this.loop = loop;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
        this.listener = listener;
    }

    /** Starts to look after requests that wait. */
    public void start() {
        look();
    }

    /** Another node holds the lease. */
    public void follow(InetSocketAddress address, String incarnation) {
        if (incarnation.equals(holderIncarnation)) {
            return;
        }
        holderIncarnation = incarnation;
        holderAddress = Optional.of(address);
        link.ifPresent(Links.Link::close);
        connect();
    }

    /** Tells whether a holder decides for this node now. */
    public boolean holderAnswers() {
        return local.holding() || linkAnswers();
    }

    private boolean linkAnswers() {
        return link.isPresent() && holderHolds && clock.nowMillis() - heardMillis < SILENCE_MILLIS;
    }

    @Override
    public void seek(DispatchRequest wish, Asker asker) {
        Pending waiting = new Pending(wish, asker, clock.nowMillis());
        pending.put(wish.key(), waiting);
        ask(waiting);
    }

    @Override
    public void withdraw(String key) {
        Pending waiting = pending.remove(key);
        if (waiting == null) {
            return;
        }
        switch (waiting.way) {
            case LOCAL -> local.withdraw(key);
            case LINK -> send(new LinkMessage.Withdraw(key));
            case NONE -> log.log("wish-withdrawn", "key", key);
        }
    }

    @Override
    public void outcome(String key, RunOutcome outcome) {
        Run run = outcome instanceof RunOutcome.FirstEventReceived ? runs.get(key) : runs.remove(key);
        if (run == null) {
            return;
        }
        switch (run.way()) {
            case LOCAL -> local.outcome(key, outcome);
            case LINK -> send(LinkMessage.outcome(key, outcome));
            case NONE -> suspect(run, outcome);
        }
    }

    @Override
    public void ended(String key) {
        Run run = runs.remove(key);
        if (run == null) {
            return;
        }
        switch (run.way()) {
            case LOCAL -> local.ended(key);
            case LINK -> send(new LinkMessage.Ended(key));
            case NONE -> suspectUntilMillis.remove(run.targetId());
        }
    }

    /** Leaves a target that broke off alone for a while, where no holder does that for all nodes. */
    private void suspect(Run run, RunOutcome outcome) {
        if (outcome instanceof RunOutcome.ConnectionFailed) {
            suspectUntilMillis.put(run.targetId(), clock.nowMillis() + SUSPICION_MILLIS);
        }
    }

    private void ask(Pending waiting) {
        if (local.holding()) {
            waiting.way = Way.LOCAL;
            local.ask(waiting.wish, this);
        } else if (linkAnswers()) {
            waiting.way = Way.LINK;
            send(ask(waiting.wish));
        } else {
            waiting.way = Way.NONE;
            placeByOwnView(waiting);
        }
    }

    private LinkMessage ask(DispatchRequest wish) {
        RequestTraits traits = wish.traits();
        long nowMillis = clock.nowMillis();
        return new LinkMessage.Ask(
                wish.key(),
                wish.zone(),
                wish.service(),
                traits.model().orElse(""),
                traits.adapter().orElse(""),
                traits.promptTokens(),
                traits.maxOutputTokens(),
                traits.promptParts().stream().map(RequestTraits.PromptPart::id).toList(),
                traits.promptParts().stream()
                        .map(RequestTraits.PromptPart::tokens)
                        .toList(),
                wish.priority(),
                wish.deadlineMillis() - nowMillis,
                wish.objectiveMillis() - nowMillis,
                wish.wantsBackup(),
                List.copyOf(wish.excluded()));
    }

    /** Takes a target that says it holds the model and the adapter, with the fewest requests of this node. */
    private void placeByOwnView(Pending waiting) {
        DispatchRequest wish = waiting.wish;
        Target best = null;
        long bestCost = Long.MAX_VALUE;
        for (Target target : view.targetsOf(wish.service())) {
            if (target.leaving() || wish.excluded().contains(target.id()) || !holds(target, wish.traits())) {
                continue;
            }
            long cost = runs.values().stream()
                                    .filter(run -> run.targetId().equals(target.id()))
                                    .count()
                            * 2
                    + (target.zone().equals(wish.zone()) ? 0 : 1)
                    + (suspectUntilMillis.getOrDefault(target.id(), 0L) > clock.nowMillis() ? SUSPICION_MILLIS : 0);
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        if (best != null) {
            pending.remove(wish.key());
            runs.put(wish.key(), new Run(Way.NONE, best.id()));
            waiting.asker.placed(best, Optional.empty(), "own-view");
        }
    }

    private static boolean holds(Target target, RequestTraits traits) {
        if (traits.model().isEmpty()) {
            return true;
        }
        return target.models().stream()
                .anyMatch(held -> held.name().equals(traits.model().get())
                        && (traits.adapter().isEmpty()
                                || held.adapters().contains(traits.adapter().get())));
    }

    @Override
    public void granted(String key, String targetId, String backupId) {
        Pending waiting = pending.remove(key);
        Optional<Target> target = view.target(targetId);
        if (waiting == null) {
            return;
        }
        runs.put(key, new Run(waiting.way, targetId));
        if (target.isEmpty() || target.get().leaving()) {
            // The holder has not read yet what this node has.
            outcome(key, new RunOutcome.Abandoned());
            waiting.way = Way.NONE;
            pending.put(key, waiting);
            return;
        }
        Optional<Target> backup = view.target(backupId).filter(other -> !other.leaving());
        waiting.asker.placed(target.get(), backup, waiting.way == Way.LOCAL ? "holder" : "remote-holder");
    }

    @Override
    public void refused(String key, String reason, long retryAfterMillis) {
        Pending waiting = pending.remove(key);
        if (waiting != null) {
            waiting.asker.refused(reason, retryAfterMillis);
        }
    }

    @Override
    public void up(Links.Link opened) {
        link = Optional.of(opened);
        connecting = false;
    }

    @Override
    public void message(Links.Link from, LinkMessage message) {
        if (link.filter(current -> current == from).isEmpty()) {
            return;
        }
        heardMillis = clock.nowMillis();
        switch (message) {
            case LinkMessage.Beat beat -> beat(beat);
            case LinkMessage.Granted grant -> granted(grant.key(), grant.targetId(), grant.backupId());
            case LinkMessage.Refused refusal -> refused(refusal.key(), refusal.reason(), refusal.retryAfterMillis());
            case LinkMessage.Ask ask -> misdirected(from);
            case LinkMessage.Withdraw withdraw -> misdirected(from);
            case LinkMessage.Outcome outcome -> misdirected(from);
            case LinkMessage.Ended ended -> misdirected(from);
        }
    }

    /** A holder asks nothing of those that follow it; what does is no holder. */
    private static void misdirected(Links.Link from) {
        from.close();
    }

    private void beat(LinkMessage.Beat beat) {
        if (!beat.incarnation().equals(holderIncarnation)) {
            holderHolds = false;
            listener.holderGone(holderIncarnation);
            return;
        }
        holderHolds = beat.holding();
        listener.nodes(beat.nodes());
        if (holderHolds) {
            for (Pending waiting : List.copyOf(pending.values())) {
                if (waiting.way == Way.NONE) {
                    ask(waiting);
                }
            }
        }
    }

    @Override
    public void down(Links.Link closed) {
        if (link.filter(current -> current == closed).isPresent()) {
            link = Optional.empty();
            holderHolds = false;
            timer.after(RECONNECT_MILLIS, this::connect);
        }
    }

    private void connect() {
        if (connecting || link.isPresent() || holderAddress.isEmpty() || local.holding()) {
            return;
        }
        connecting = true;
        String wanted = holderIncarnation;
        ChannelFuture attempt = Links.connect(loop, holderAddress.get(), this);
        attempt.addListener(done -> {
            if (done.isSuccess()) {
                return;
            }
            connecting = false;
            if (done.cause() instanceof ConnectException
                    && String.valueOf(done.cause().getMessage()).contains("refused")) {
                listener.holderGone(wanted);
            }
            timer.after(RECONNECT_MILLIS, this::connect);
        });
    }

    private void look() {
        long nowMillis = clock.nowMillis();
        boolean answers = holderAnswers();
        if (answers != answeredBefore) {
            log.log(
                    answers ? "holder-answers" : "holder-silent",
                    "holder",
                    holderIncarnation,
                    "silentMillis",
                    nowMillis - heardMillis);
            answeredBefore = answers;
        }
        for (Pending waiting : new ArrayList<>(pending.values())) {
            boolean lost = (waiting.way == Way.LINK && !linkAnswers())
                    || (waiting.way == Way.LOCAL && !local.holding())
                    || waiting.way == Way.NONE;
            if (!lost) {
                continue;
            }
            ask(waiting);
            long allowedMillis = Math.round((waiting.wish.deadlineMillis() - waiting.sinceMillis) * LONGEST_WAIT_SHARE);
            if (waiting.way == Way.NONE
                    && pending.containsKey(waiting.wish.key())
                    && nowMillis - waiting.sinceMillis > allowedMillis) {
                refused(waiting.wish.key(), "no-holder", RETRY_AFTER_MILLIS);
            }
        }
        timer.after(LOOK_MILLIS, this::look);
    }

    private void send(LinkMessage message) {
        link.ifPresent(open -> open.send(message));
    }
}
