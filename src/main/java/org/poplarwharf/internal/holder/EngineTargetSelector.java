package org.poplarwharf.internal.holder;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.TargetSelector;
import org.poplarwharf.internal.holder.PendingRequest.Decider;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.PauseDetector;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Selects the targets that only the lease holder can select: engines, and for other services targets that have named a limit
 * and targets for streams whose origin this node doesn't know. While no holder responds, this node selects a target by its
 * own view, which has no targets with limits, and looks for the origins of streams on the platform's log.
 *
 * <p>Invariant: at any time, exactly one of the local holder, the remote holder and, without a holder, this node itself
 * selects the target of a pending request. A request that waits for a holder waits for no more than a fixed share of
 * its time and one read of the log. Confined to the event loop.
 */
public final class EngineTargetSelector implements TargetSelector, HolderConnections.Handler, PlacementListener {
    /** A holder that has sent nothing for two and a half heartbeat intervals is treated as unresponsive. */
    private static final long HOLDER_TIMEOUT_MILLIS = 1_250;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /**
     * A request waits for a holder for at most this share of its time, so that the caller has time left for a retry.
     */
    private static final double MAX_HOLDER_WAIT_RATIO = 0.35;

    private static final long RETRY_AFTER_MILLIS = 700;

    /** After a pause of this length, a grant may have been issued so long ago that it no longer counts as recent. */
    private static final long MAX_PAUSE_MILLIS = 500;

    private final HolderRole localHolder;
    private final FleetView view;
    private final HolderLink link;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final HolderListener listener;
    private final Map<String, PendingRequest> pending = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final FallbackTargetPicker fallback;
    private final TargetLimits targetLimits;
    private final TargetSpeeds targetSpeeds;
    private final StreamOrigins streamOrigins;
    private final StreamOriginLookup originLookup;
    private final UnsharedOrigins unsharedOrigins = new UnsharedOrigins();
    private final PauseDetector pauses;
    private boolean remoteHolding;
    private long lastMessageMillis;
    private boolean wasResponding;

    private record Run(Decider decider, String targetId) {}

    public EngineTargetSelector(
            HolderRole localHolder,
            FleetView view,
            EventLoop loop,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            DecisionLog log,
            TargetLimits targetLimits,
            TargetSpeeds targetSpeeds,
            StreamOrigins streamOrigins,
            StreamOriginLookup originLookup,
            HolderListener listener) {
        this.localHolder = localHolder;
        this.view = view;
        this.targetLimits = targetLimits;
        this.targetSpeeds = targetSpeeds;
        this.streamOrigins = streamOrigins;
        this.originLookup = originLookup;
        this.fallback = new FallbackTargetPicker(view, targetLimits, targetSpeeds);
        this.pauses = new PauseDetector(clock::nowMillis, System::currentTimeMillis, MAX_PAUSE_MILLIS);
        this.clock = clock;
        this.timer = timer;
        this.log = log;
        this.listener = listener;
        this.link = new HolderLink(loop, timer, log, this, () -> !localHolder.isHolding(), listener::holderEnded);
    }

    /** Starts the periodic check of pending requests. */
    public void start() {
        checkPending();
    }

    /** Connects to another node that holds the lease. */
    public void followHolder(InetSocketAddress address, String incarnation) {
        link.follow(address, incarnation);
    }

    /** Returns whether a holder decides for this node now. */
    public boolean isHolderResponding() {
        return localHolder.isHolding() || isRemoteHolderResponding();
    }

    private boolean isRemoteHolderResponding() {
        return link.isConnected() && remoteHolding && clock.nowMillis() - lastMessageMillis < HOLDER_TIMEOUT_MILLIS;
    }

    @Override
    public void select(DispatchRequest request, Callback callback) {
        PendingRequest pendingRequest = new PendingRequest(request, callback, clock.nowMillis());
        pending.put(request.key(), pendingRequest);
        submit(pendingRequest);
    }

    @Override
    public void cancel(String key) {
        PendingRequest pendingRequest = pending.remove(key);
        if (pendingRequest == null) {
            return;
        }
        withdraw(pendingRequest.decider, key);
    }

    private void withdraw(Decider decider, String key) {
        switch (decider) {
            case LOCAL_HOLDER -> localHolder.withdraw(key);
            case REMOTE_HOLDER -> send(new HolderMessage.Withdraw(key));
            case NO_HOLDER -> log.log("wish-withdrawn", "key", key);
        }
    }

    @Override
    public void reportOutcome(String key, RunOutcome outcome) {
        Run run = outcome.endsRun() ? runs.remove(key) : runs.get(key);
        if (outcome instanceof RunOutcome.FirstEventReceived received) {
            received.origin().ifPresent(origin -> shareOrigin(origin, run));
        }
        if (run == null || (outcome instanceof RunOutcome.LatePause && !targetSpeeds.isUsedForPlacement())) {
            return;
        }
        switch (run.decider()) {
            case LOCAL_HOLDER -> localHolder.recordOutcome(key, outcome);
            case REMOTE_HOLDER -> send(HolderMessage.outcomeMessage(key, outcome));
            case NO_HOLDER -> applyBackoff(run, outcome);
        }
    }

    /** Tells another node the origin of a stream, unless the outcome of the run does that. */
    private void shareOrigin(StreamOrigin origin, Run run) {
        if (localHolder.isHolding()) {
            localHolder.copyOrigin(origin);
        } else if (!link.isConnected()) {
            unsharedOrigins.add(origin);
        } else if (run == null || run.decider() != Decider.REMOTE_HOLDER) {
            send(HolderMessage.originMessage(origin));
        }
    }

    @Override
    public void reportEnd(String key, boolean successful) {
        Run run = runs.remove(key);
        if (run == null) {
            return;
        }
        switch (run.decider()) {
            case LOCAL_HOLDER -> localHolder.recordEnd(key, successful);
            case REMOTE_HOLDER -> send(new HolderMessage.Ended(key, Optional.of(successful)));
            case NO_HOLDER -> fallback.recordSuccess(run.targetId());
        }
    }

    @Override
    public void reportLeaving(Target target) {
        if (!localHolder.isHolding()) {
            send(HolderMessage.leavingMessage(target));
        }
    }

    @Override
    public void reportLimit(String targetId, double requestsPerSecond) {
        targetLimits.recordNamed(targetId, requestsPerSecond, clock.nowMillis());
        if (!localHolder.isHolding()) {
            send(HolderMessage.limitMessage(targetId, requestsPerSecond));
        }
    }

    /** There is no holder that keeps all nodes from a target whose connection broke, so this node does it itself. */
    private void applyBackoff(Run run, RunOutcome outcome) {
        if (outcome instanceof RunOutcome.ConnectionFailed) {
            fallback.recordFailure(run.targetId(), clock.nowMillis());
        }
    }

    private void submit(PendingRequest pendingRequest) {
        if (localHolder.isHolding()) {
            pendingRequest.decider = Decider.LOCAL_HOLDER;
            localHolder.submit(pendingRequest.request, this);
        } else if (isRemoteHolderResponding()) {
            pendingRequest.decider = Decider.REMOTE_HOLDER;
            send(HolderMessage.submitMessage(pendingRequest.request, clock.nowMillis()));
        } else {
            pendingRequest.decider = Decider.NO_HOLDER;
            selectFromOwnView(pendingRequest);
        }
    }

    private void selectFromOwnView(PendingRequest pendingRequest) {
        DispatchRequest request = originLookup.resolve(pendingRequest.request);
        Optional<Target> picked = fallback.pick(request, this::runCount, clock.nowMillis());
        if (picked.isPresent()) {
            pending.remove(request.key());
            runs.put(request.key(), new Run(Decider.NO_HOLDER, picked.get().id()));
            pendingRequest.callback.onSelected(picked.get(), Optional.empty(), "own-view");
        }
    }

    private long runCount(String targetId) {
        return runs.values().stream()
                .filter(run -> run.targetId().equals(targetId))
                .count();
    }

    @Override
    public void granted(String key, String targetId, String backupId) {
        handleGrant(Decider.LOCAL_HOLDER, key, targetId, backupId);
    }

    private void handleRemoteGrant(HolderMessage.Granted grant) {
        PendingRequest pendingRequest = pending.get(grant.key());
        if (pendingRequest != null && grant.softwareVersion().isPresent()) {
            DispatchRequest request = pendingRequest.request;
            request.continuation()
                    .ifPresent(stream -> streamOrigins.record(new StreamOrigin(
                            stream.streamId(),
                            request.service(),
                            grant.softwareVersion().get())));
        }
        handleGrant(Decider.REMOTE_HOLDER, grant.key(), grant.targetId(), grant.backupId());
    }

    private void handleGrant(Decider granter, String key, String targetId, String backupId) {
        PendingRequest pendingRequest = pending.remove(key);
        Optional<Target> target = view.target(targetId);
        if (pendingRequest == null) {
            returnUnusedGrant(granter, key);
            return;
        }
        pendingRequest.decider = granter;
        runs.put(key, new Run(granter, targetId));
        boolean isOldPermit = targetLimits.isLimited(targetId) && pauses.hasJustPaused();
        if (target.isEmpty() || target.get().leaving() || isOldPermit) {
            // Either the holder's view of the targets is older than this node's, or the grant itself is old.
            reportOutcome(key, new RunOutcome.Abandoned());
            pendingRequest.decider = Decider.NO_HOLDER;
            pending.put(key, pendingRequest);
            return;
        }
        Optional<Target> backup = view.target(backupId).filter(other -> !other.leaving());
        pendingRequest.callback.onSelected(
                target.get(), backup, pendingRequest.decider == Decider.LOCAL_HOLDER ? "holder" : "remote-holder");
    }

    /**
     * Returns a grant that comes too late, as from a holder that was suspended, so that it doesn't occupy its target.
     */
    private void returnUnusedGrant(Decider granter, String key) {
        Run run = runs.get(key);
        if (run == null || run.decider() != granter) {
            withdraw(granter, key);
        }
    }

    @Override
    public void refused(String key, String reason, long retryAfterMillis) {
        PendingRequest pendingRequest = pending.remove(key);
        if (pendingRequest != null) {
            pendingRequest.callback.onRejected(reason, retryAfterMillis);
        }
    }

    @Override
    public void opened(HolderConnections.Connection openedConnection) {
        listener.connected();
        targetLimits.requestsPerSecondByTarget().forEach(this::reportLimit);
        view.statedLeaving().forEach(this::reportLeaving);
        unsharedOrigins.takeAll().forEach(origin -> send(HolderMessage.originMessage(origin)));
    }

    @Override
    public void received(HolderConnections.Connection sender, HolderMessage message) {
        lastMessageMillis = clock.nowMillis();
        switch (message) {
            case HolderMessage.Heartbeat heartbeat -> handleHeartbeat(heartbeat);
            case HolderMessage.Granted grant -> handleRemoteGrant(grant);
            case HolderMessage.Refused refusal -> refused(refusal.key(), refusal.reason(), refusal.retryAfterMillis());
            case HolderMessage.TargetCrashes report -> listener.crashesAnnounced(report);
            case HolderMessage.Submit submit -> closeUnexpected(sender);
            case HolderMessage.Withdraw withdraw -> closeUnexpected(sender);
            case HolderMessage.Outcome outcome -> closeUnexpected(sender);
            case HolderMessage.Ended ended -> closeUnexpected(sender);
            case AccountMessage account -> listener.accountMessageReceived(account);
        }
    }

    /** Closes a connection on which a peer that should be the holder sent a message that only other nodes send. */
    private static void closeUnexpected(HolderConnections.Connection sender) {
        sender.close();
    }

    private void handleHeartbeat(HolderMessage.Heartbeat heartbeat) {
        remoteHolding = heartbeat.holding();
        heartbeat.origin().ifPresent(streamOrigins::record);
        heartbeat
                .soughtStreamId()
                .flatMap(streamOrigins::find)
                .ifPresent(origin -> send(HolderMessage.originMessage(origin)));
        heartbeat.targetLimits().ifPresent(limits -> targetLimits.replaceAll(limits, clock.nowMillis()));
        heartbeat
                .targetSpeeds()
                .filter(speeds -> remoteHolding)
                .ifPresent(speeds -> targetSpeeds.restore(speeds, view::target, clock.nowMillis()));
        heartbeat.peers().filter(peers -> remoteHolding).ifPresent(listener::peersReported);
        listener.nodesReported(new HolderListener.Nodes(heartbeat.nodes(), heartbeat.position()));
        if (remoteHolding) {
            for (PendingRequest pendingRequest : List.copyOf(pending.values())) {
                if (pendingRequest.decider == Decider.NO_HOLDER) {
                    submit(pendingRequest);
                }
            }
        }
    }

    @Override
    public void closed(HolderConnections.Connection closedConnection, boolean endedByPeer) {
        remoteHolding = false;
    }

    private void checkPending() {
        pauses.recordTurn();
        long nowMillis = clock.nowMillis();
        if (localHolder.isHolding()) {
            listener.nodesReported(localHolder.nodes());
            listener.peersReported(localHolder.peers());
        }
        boolean responding = isHolderResponding();
        if (responding != wasResponding) {
            log.log(
                    responding ? "holder-answers" : "holder-silent",
                    "holder",
                    link.incarnation(),
                    "silentMillis",
                    nowMillis - lastMessageMillis);
            wasResponding = responding;
        }
        for (PendingRequest pendingRequest : new ArrayList<>(pending.values())) {
            boolean deciderLost = (pendingRequest.decider == Decider.REMOTE_HOLDER && !isRemoteHolderResponding())
                    || (pendingRequest.decider == Decider.LOCAL_HOLDER && !localHolder.isHolding())
                    || pendingRequest.decider == Decider.NO_HOLDER;
            if (!deciderLost) {
                continue;
            }
            submit(pendingRequest);
            long maxWaitMillis = Math.round(
                    (pendingRequest.request.deadlineMillis() - pendingRequest.submittedMillis) * MAX_HOLDER_WAIT_RATIO);
            if (pendingRequest.decider == Decider.NO_HOLDER
                    && pending.containsKey(pendingRequest.request.key())
                    && nowMillis - pendingRequest.submittedMillis > maxWaitMillis
                    && !pendingRequest.awaitsRead(originLookup.readFor(pendingRequest.request))) {
                refused(pendingRequest.request.key(), "no-holder", RETRY_AFTER_MILLIS);
            }
        }
        timer.schedule(CHECK_INTERVAL_MILLIS, this::checkPending);
    }

    /** Reports requests that have crashed targets to the holder, which informs the other nodes. */
    public void reportCrashes(List<TargetCrash> crashes) {
        if (!crashes.isEmpty()) {
            HolderMessage.TargetCrashes.of(crashes).forEach(this::send);
        }
    }

    /** Sends a message to the holder that this node follows, if it is connected. */
    void send(HolderMessage message) {
        link.send(message);
    }
}
