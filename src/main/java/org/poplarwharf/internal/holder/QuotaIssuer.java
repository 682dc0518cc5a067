package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.poplarwharf.internal.fleet.AccountTable;
import org.poplarwharf.internal.fleet.Quota;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.quota.QuotaPool;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * The lease holder's part in quotas: hands out units to the nodes that are connected to it.
 *
 * <p>Invariant: the share that is handed out is that of the nodes which were heard a short time ago, among all nodes that are
 * known. So two holders together hand out no more than the quotas, and nodes without a holder can use their own shares.
 * Confined to the event loop.
 */
final class QuotaIssuer {
    /** Nodes respond to each heartbeat; one that has missed three may go by its own share. */
    private static final long HEARD_MILLIS = 1_500;

    private static final long TICK_INTERVAL_MILLIS = 200;

    private final Supplier<Optional<AccountTable>> accounts;
    private final IntSupplier knownNodeCount;
    private final MonotonicClock clock;
    private final TopicFollower.Timer timer;
    private final QuotaPool pool;
    private final Map<HolderConnections.Connection, Long> heardMillis = new HashMap<>();
    private Optional<AccountTable> current = Optional.empty();

    /**
     * Creates an issuer.
     *
     * @param accounts the accounts of the plan in force
     * @param knownNodeCount the number of nodes that are known, also of those that are cut off; zero if it is unknown
     * @param maxDebtUnits the units by which a single request may exceed what an account with the quota can save
     */
    QuotaIssuer(
            Supplier<Optional<AccountTable>> accounts,
            IntSupplier knownNodeCount,
            MonotonicClock clock,
            TopicFollower.Timer timer,
            ToDoubleFunction<Quota> maxDebtUnits) {
        this.accounts = accounts;
        this.knownNodeCount = knownNodeCount;
        this.clock = clock;
        this.timer = timer;
        this.pool = new QuotaPool(maxDebtUnits, clock.nowMillis());
    }

    /** Starts to keep the pool up to date. */
    void start() {
        update();
        timer.schedule(TICK_INTERVAL_MILLIS, this::start);
    }

    /** Drops what is saved, since another node may have been the holder. */
    void leaseClaimed() {
        update();
        pool.restart(clock.nowMillis());
    }

    /** Records that a node is connected. */
    void recordHeard(HolderConnections.Connection connection) {
        heardMillis.put(connection, clock.nowMillis());
    }

    void closed(HolderConnections.Connection connection) {
        if (heardMillis.remove(connection) != null) {
            update();
        }
    }

    private void update() {
        long nowMillis = clock.nowMillis();
        Optional<AccountTable> latest = accounts.get();
        if (!latest.equals(current)) {
            current = latest;
            pool.updateAccounts(latest.map(AccountTable::accountsByName).orElse(Map.of()), nowMillis);
        }
        long heardCount = 1
                + heardMillis.values().stream()
                        .filter(heard -> nowMillis - heard <= HEARD_MILLIS)
                        .count();
        pool.setShare((double) heardCount / Math.max(heardCount, knownNodeCount.getAsInt()), nowMillis);
        pool.tick(nowMillis);
    }

    /** Hands out units for requests of this node or of another one. */
    QuotaPool.Decision take(String account, double minUnits, double wantedUnits) {
        return pool.take(account, minUnits, wantedUnits, clock.nowMillis());
    }

    /** Takes units back that were not used. */
    void giveBack(String account, double units) {
        pool.giveBack(account, units, clock.nowMillis());
    }

    /**
     * Returns the response to another node that asks for units. If its plan is later than this one's and has limited the account
     * since, the quota that the node states applies.
     */
    AccountMessage.QuotaGrant respond(AccountMessage.QuotaRequest request) {
        pool.addIfAbsent(request.account(), request.quota(), clock.nowMillis());
        return switch (take(request.account(), request.minUnits(), request.wantedUnits())) {
            case QuotaPool.Granted granted -> grant(request, granted.units());
            case QuotaPool.Unlimited unlimited -> grant(request, request.wantedUnits());
            case QuotaPool.Exhausted exhausted ->
                new AccountMessage.QuotaGrant(
                        request.account(),
                        request.number(),
                        0,
                        exhausted.availableMillis(),
                        exhausted.retryAfterMillis());
        };
    }

    private static AccountMessage.QuotaGrant grant(AccountMessage.QuotaRequest request, double units) {
        return new AccountMessage.QuotaGrant(request.account(), request.number(), units, 0, 0);
    }
}
