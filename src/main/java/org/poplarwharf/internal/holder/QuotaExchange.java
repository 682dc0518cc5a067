package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Quota;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.internal.gateway.QuotaGate;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.quota.QuotaCredits;
import org.poplarwharf.internal.quota.QuotaPool;
import org.poplarwharf.internal.quota.SilentHolderShare;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Acquires units of quotas for this node's requests: from the pool of the lease holder, which may be this node, or from
 * this node's own share while no holder responds.
 *
 * <p>Invariants: a request runs only with the units that it uses. The holder is asked for the requests of an account that
 * wait, and not for each of them. Confined to the event loop.
 */
final class QuotaExchange implements QuotaGate {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    /** A holder in reach responds much sooner. */
    private static final long MAX_RESPONSE_MILLIS = 150;

    /**
     * A holder that has sent nothing for this long has missed a heartbeat. One that sends heartbeats and responds late
     * still hands out this node's share, so the node must not use it as well.
     */
    private static final long MAX_CONTACT_AGE_MILLIS = HolderAnnouncer.HEARTBEAT_INTERVAL_MILLIS + MAX_RESPONSE_MILLIS;

    /** Other nodes may use this node's share once they no longer count it; by then this node has ceased to use it. */
    private static final long MAX_SILENT_MILLIS =
            ClientAccounts.NODE_COUNT_HOLD_MILLIS - 3 * HolderAnnouncer.HEARTBEAT_INTERVAL_MILLIS;

    /** Requests wait for a holder for at most this time, so that their callers can come back at another node. */
    private static final long MAX_HOLDER_WAIT_MILLIS = 1_000;

    private static final long RETRY_AFTER_MILLIS = 700;

    private final HolderPath path;
    private final QuotaIssuer localIssuer;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final QuotaCredits credits = new QuotaCredits();
    private final SilentHolderShare silentShare;
    private final QuotaRecorder recorder;
    private final Map<String, QuotaQueue> queues = new HashMap<>();
    private int nodeCount;

    /**
     * How this node reaches the lease holder.
     *
     * @param isLocal whether this node is the holder
     * @param isResponding whether a holder, which may be this node, decides for this node now
     * @param send sends a message to another node that is the holder
     */
    record HolderPath(BooleanSupplier isLocal, BooleanSupplier isResponding, Consumer<HolderMessage> send) {}

    QuotaExchange(
            HolderPath path,
            QuotaIssuer localIssuer,
            AccountSettings settings,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            QuotaRecorder recorder) {
        this.recorder = recorder;
        this.path = path;
        this.localIssuer = localIssuer;
        this.clock = clock;
        this.timer = timer;
        this.silentShare = new SilentHolderShare(settings.windowMillis(), MAX_SILENT_MILLIS, clock.nowMillis());
    }

    /** Starts the periodic check of waiting requests and unused units. */
    void start() {
        check();
        timer.schedule(CHECK_INTERVAL_MILLIS, this::start);
    }

    /** Records that a holder decides for this node now, and the number of nodes that are known; zero if it is unknown. */
    void recordContact(int latestNodeCount) {
        nodeCount = latestNodeCount;
        silentShare.recordContact(clock.nowMillis());
        silentShare.setNodeCount(latestNodeCount);
    }

    @Override
    public Acquisition acquire(ClientAccount account, double units, long millisLeft, Callback callback) {
        long nowMillis = clock.nowMillis();
        QuotaQueue queue = queues.computeIfAbsent(account.name(), name -> new QuotaQueue(account, recorder));
        queue.setAccount(account);
        QuotaQueue.Waiting request = new QuotaQueue.Waiting(units, nowMillis, millisLeft, callback);
        queue.add(request, nowMillis);
        serve(queue);
        return request;
    }

    @Override
    public void giveBack(ClientAccount account, double units) {
        giveBack(account.name(), units);
    }

    /** Handles units that the holder hands out, or its statement that there are none. */
    void handleGrant(AccountMessage.QuotaGrant grant) {
        long nowMillis = clock.nowMillis();
        if (grant.units() > 0) {
            credits.add(grant.account(), grant.units(), nowMillis);
        }
        QuotaQueue queue = queues.get(grant.account());
        if (queue == null) {
            return;
        }
        queue.recordResponse(grant.number());
        if (grant.units() <= 0) {
            queue.recordExhausted(grant.availableMillis(), grant.retryAfterMillis(), nowMillis);
        }
        serve(queue);
    }

    /** Lets waiting requests run, as far as there are units, and asks for more. */
    private void serve(QuotaQueue queue) {
        while (!queue.isEmpty() && tryTakeHere(queue)) {
            admitFirst(queue);
        }
        if (path.isLocal().getAsBoolean()) {
            serveFromPool(queue);
        } else if (!queue.isEmpty()
                && queue.mayAsk(clock.nowMillis())
                && path.isResponding().getAsBoolean()) {
            ask(queue);
        }
    }

    private void admitFirst(QuotaQueue queue) {
        QuotaQueue.Waiting request = queue.takeFirst();
        recorder.recordAdmitted(queue.account().name(), request.units());
        request.admit();
    }

    /** Uses what this node has of the account's units, and returns whether it was enough for the first request. */
    private boolean tryTakeHere(QuotaQueue queue) {
        long nowMillis = clock.nowMillis();
        String account = queue.account().name();
        double units = queue.first().units();
        if (credits.tryTake(account, units, nowMillis)) {
            return true;
        }
        boolean isUnanswered = queue.unansweredMillis(nowMillis) > MAX_RESPONSE_MILLIS
                && silentShare.silentMillis(nowMillis) > MAX_CONTACT_AGE_MILLIS;
        return (!path.isResponding().getAsBoolean() || isUnanswered)
                && silentShare.tryTake(account, queue.quota(), units, nowMillis);
    }

    private void serveFromPool(QuotaQueue queue) {
        while (!queue.isEmpty() && queue.mayAsk(clock.nowMillis())) {
            double units = queue.first().units();
            if (localIssuer.take(queue.account().name(), units, units) instanceof QuotaPool.Exhausted exhausted) {
                queue.recordExhausted(exhausted.availableMillis(), exhausted.retryAfterMillis(), clock.nowMillis());
            } else {
                admitFirst(queue);
            }
        }
    }

    private void ask(QuotaQueue queue) {
        long nowMillis = clock.nowMillis();
        String account = queue.account().name();
        Quota quota = queue.quota();
        double wantedUnits = queue.waitingUnits() + credits.unitsAhead(account, quota, nodeCount, nowMillis);
        path.send()
                .accept(new AccountMessage.QuotaRequest(
                        account,
                        queue.recordAsked(nowMillis),
                        queue.first().units(),
                        wantedUnits,
                        quota.perSecond(),
                        quota.burst()));
    }

    private void check() {
        long nowMillis = clock.nowMillis();
        silentShare.tick(nowMillis);
        recorder.check(nowMillis);
        credits.takeExpired(nowMillis).forEach(this::giveBack);
        for (QuotaQueue queue : List.copyOf(queues.values())) {
            if (queue.unansweredMillis(nowMillis) > MAX_HOLDER_WAIT_MILLIS) {
                queue.forgetAsk();
            }
            serve(queue);
            for (QuotaQueue.Waiting overdue : queue.takeOverdue(MAX_HOLDER_WAIT_MILLIS, nowMillis)) {
                overdue.refuse(FailureCode.NO_HOLDER, "no-holder", RETRY_AFTER_MILLIS);
            }
        }
        queues.values().removeIf(queue -> queue.isDisposable(nowMillis));
    }

    private void giveBack(String account, double units) {
        if (path.isLocal().getAsBoolean()) {
            localIssuer.giveBack(account, units);
        } else {
            path.send().accept(new AccountMessage.QuotaReturn(account, units));
        }
    }
}
