package org.poplarwharf.internal.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.poplarwharf.internal.fleet.ClientAccount;
import org.poplarwharf.internal.fleet.Quota;

/**
 * Hands out, at the lease holder, what client accounts may use over all nodes that are connected to it.
 *
 * <p>Load: requests of one account arrive at many nodes, evenly or at a single one, up to several times its quota. What
 * is handed out does not depend on where they arrive.
 *
 * <p>Invariants: in any window of {@code t} seconds, an account is handed out at most {@code share x (rate x t + burst)} plus
 * the permitted debt of one request. A pool that starts, or that was not run for a while, has nothing saved, because
 * another holder may have handed it out. Confined to one thread; the current time is passed with each call.
 */
public final class QuotaPool {
    /** Callers are told to come back after at most this time, and what they ask for is not reserved beyond it. */
    private static final long MAX_PROMISE_MILLIS = 4_000;

    /** A pool that was not run for this long may have been replaced by another holder's meanwhile. */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final Map<String, Entry> byAccount = new HashMap<>();
    private final ToDoubleFunction<Quota> maxDebtUnits;
    private double share = 1;
    private long lastTickMillis;

    private static final class Entry {
        private Quota quota;
        private final UnitBucket bucket;

        /** The time until which refused requests have been told to come back. */
        private double promisedMillis;

        Entry(Quota quota, UnitBucket bucket) {
            this.quota = quota;
            this.bucket = bucket;
        }
    }

    /** The response to a request for units. */
    public sealed interface Decision {}

    /** The units are handed out. */
    public record Granted(double units) implements Decision {}

    /**
     * Nothing is handed out.
     *
     * @param availableMillis when the units that were asked for are available, if nobody else asks before
     * @param retryAfterMillis when callers should come back, behind all that were told to come back before
     */
    public record Exhausted(long availableMillis, long retryAfterMillis) implements Decision {}

    /** The account has no quota, so that its requests are not counted. */
    public record Unlimited() implements Decision {}

    /**
     * Creates a pool without accounts.
     *
     * @param maxDebtUnits the units by which a request may exceed what an account with the quota can save
     */
    public QuotaPool(ToDoubleFunction<Quota> maxDebtUnits, long nowMillis) {
        this.maxDebtUnits = maxDebtUnits;
        this.lastTickMillis = nowMillis;
    }

    /** Replaces the accounts. What an account has saved is kept, as far as its new burst allows. */
    public void updateAccounts(Map<String, ClientAccount> accounts, long nowMillis) {
        byAccount
                .keySet()
                .removeIf(name -> !accounts.containsKey(name)
                        || accounts.get(name).quota().isEmpty());
        accounts.values()
                .forEach(
                        account -> account.quota().ifPresent(quota -> updateAccount(account.name(), quota, nowMillis)));
    }

    private void updateAccount(String name, Quota quota, long nowMillis) {
        Entry known = byAccount.get(name);
        if (known == null) {
            byAccount.put(
                    name,
                    new Entry(quota, new UnitBucket(share * quota.perSecond(), share * quota.burst(), nowMillis)));
            return;
        }
        if (!known.quota.equals(quota)) {
            known.quota = quota;
            known.promisedMillis = 0;
            applyShare(known, nowMillis);
        }
    }

    /**
     * Adds an account that has no quota by the plan of this node, but has one by the later plan of another node. It
     * stays until the accounts are replaced.
     */
    public void addIfAbsent(String name, Quota quota, long nowMillis) {
        if (!byAccount.containsKey(name)) {
            updateAccount(name, quota, nowMillis);
        }
    }

    /** Sets the share of the quotas that this pool hands out; the rest belongs to nodes that it can't reach. */
    public void setShare(double latest, long nowMillis) {
        if (share != latest) {
            share = latest;
            byAccount.values().forEach(entry -> applyShare(entry, nowMillis));
        }
    }

    private void applyShare(Entry entry, long nowMillis) {
        entry.bucket.setLimits(share * entry.quota.perSecond(), share * entry.quota.burst(), nowMillis);
    }

    /** Drops what is saved, because another node has been the holder before. */
    public void restart(long nowMillis) {
        lastTickMillis = nowMillis;
        byAccount.values().forEach(entry -> entry.bucket.empty(nowMillis));
    }

    /** To be called several times a second. Drops what is saved if the process was suspended. */
    public void tick(long nowMillis) {
        if (nowMillis - lastTickMillis > MAX_PAUSE_MILLIS) {
            restart(nowMillis);
        }
        lastTickMillis = nowMillis;
    }

    /**
     * Hands out units for the requests of one node.
     *
     * @param minUnits the units that the first of them uses; nothing is handed out if fewer are available
     * @param wantedUnits the units that all of them use
     */
    public Decision take(String account, double minUnits, double wantedUnits, long nowMillis) {
        tick(nowMillis);
        Entry entry = byAccount.get(account);
        if (entry == null) {
            return new Unlimited();
        }
        double capacity = entry.bucket.capacity();
        if (minUnits > capacity + maxDebtUnits.applyAsDouble(entry.quota)) {
            return new Exhausted(MAX_PROMISE_MILLIS, MAX_PROMISE_MILLIS);
        }
        // A request that uses more than can be saved is admitted once all is saved that can be, and the rest is a debt.
        double requiredUnits = Math.min(minUnits, capacity);
        if (entry.bucket.available(nowMillis) >= requiredUnits) {
            double units = Math.max(minUnits, Math.min(wantedUnits, entry.bucket.available(nowMillis)));
            entry.bucket.take(units, nowMillis);
            return new Granted(units);
        }
        double waitMillis =
                Math.max(1, Math.min(MAX_PROMISE_MILLIS, entry.bucket.waitMillis(requiredUnits, nowMillis)));
        return new Exhausted(
                (long) Math.ceil(waitMillis), promise(entry, waitMillis, Math.max(minUnits, wantedUnits), nowMillis));
    }

    /** Returns when to come back, behind all that were told to come back before, and reserves that time. */
    private long promise(Entry entry, double waitMillis, double wantedUnits, long nowMillis) {
        double dueMillis = Math.max(nowMillis + waitMillis, entry.promisedMillis);
        double latestMillis = nowMillis + MAX_PROMISE_MILLIS;
        double useMillis = wantedUnits / (share * entry.quota.perSecond()) * 1_000;
        entry.promisedMillis = Math.min(latestMillis, dueMillis + useMillis);
        return (long) Math.ceil(Math.min(latestMillis, dueMillis) - nowMillis);
    }

    /** Takes back units that were handed out and not used. */
    public void giveBack(String account, double units, long nowMillis) {
        Entry entry = byAccount.get(account);
        if (entry != null) {
            entry.bucket.giveBack(Math.max(0, units), nowMillis);
        }
    }

    /** Returns the units that each account could use now. */
    public Map<String, Double> availableByAccount(long nowMillis) {
        Map<String, Double> available = new HashMap<>();
        byAccount.forEach((name, entry) -> available.put(name, entry.bucket.available(nowMillis)));
        return available;
    }
}
