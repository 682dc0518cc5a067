package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The work that classes of requests (by priority) and client accounts asked for and got lately, and whose turn it is.
 * Answers steady overload, where strict priority would starve the lower classes, and an account that asks for many times
 * the share of the others.
 *
 * <p>Invariant: a class with pressed requests that got less than {@link #FLOOR_RATIO} of its part of the asked work has
 * its turn before more urgent ones. Amounts decay, so entries that are no longer used are dropped. Confined to one
 * thread; the current time is passed with each call.
 */
final class WorkShares {
    /**
     * The least that a class gets, as a ratio of what it would get if all classes were served alike. Callers count as
     * starved below a quarter.
     */
    static final double FLOOR_RATIO = 1.0 / 3;

    /** Time constant of the amounts: callers wait some seconds, so a class is served again within that time. */
    private static final double DECAY_MILLIS = 5_000;

    private static final double NEGLIGIBLE_WORK = 0.5;

    private final Map<Integer, Double> askedByClass;
    private final Map<Integer, Double> servedByClass;
    private final Map<Optional<String>, Double> servedByAccount;
    private long updatedMillis;

    WorkShares() {
        this(new HashMap<>(), new HashMap<>(), new HashMap<>(), 0);
    }

    private WorkShares(
            Map<Integer, Double> askedByClass,
            Map<Integer, Double> servedByClass,
            Map<Optional<String>, Double> servedByAccount,
            long updatedMillis) {
        this.askedByClass = askedByClass;
        this.servedByClass = servedByClass;
        this.servedByAccount = servedByAccount;
        this.updatedMillis = updatedMillis;
    }

    /** Returns a copy on which an order can be tried. */
    WorkShares copy() {
        return new WorkShares(
                new HashMap<>(askedByClass),
                new HashMap<>(servedByClass),
                new HashMap<>(servedByAccount),
                updatedMillis);
    }

    void recordAsked(int priority, double work, long nowMillis) {
        decayTo(nowMillis);
        askedByClass.merge(priority, work, Double::sum);
    }

    void recordServed(int priority, Optional<String> account, double work, long nowMillis) {
        decayTo(nowMillis);
        servedByClass.merge(priority, work, Double::sum);
        servedByAccount.merge(account, work, Double::sum);
    }

    /**
     * Returns the class whose turn it is: the one furthest below its floor, or else the most urgent one.
     *
     * @param pressedClasses classes with requests that can't wait much longer; others need no floor
     */
    OptionalInt nextClass(Set<Integer> waitingClasses, Set<Integer> pressedClasses) {
        double asked = sum(askedByClass);
        double served = sum(servedByClass);
        int next = -1;
        double lowestRatio = 1;
        for (int priority : waitingClasses) {
            if (!pressedClasses.contains(priority)) {
                continue;
            }
            double floor = FLOOR_RATIO * askedByClass.getOrDefault(priority, 0.0) * served / Math.max(1, asked);
            double ratio = floor > 0 ? servedByClass.getOrDefault(priority, 0.0) / floor : 1;
            if (ratio < lowestRatio) {
                next = priority;
                lowestRatio = ratio;
            }
        }
        return next >= 0
                ? OptionalInt.of(next)
                : waitingClasses.stream().mapToInt(Integer::intValue).min();
    }

    /** Returns the work that the account got lately. */
    double servedWork(Optional<String> account) {
        return servedByAccount.getOrDefault(account, 0.0);
    }

    private void decayTo(long nowMillis) {
        if (nowMillis <= updatedMillis) {
            return;
        }
        double decay = Math.exp((updatedMillis - nowMillis) / DECAY_MILLIS);
        updatedMillis = nowMillis;
        for (Map<?, Double> amounts : List.of(askedByClass, servedByClass, servedByAccount)) {
            amounts.replaceAll((key, amount) -> amount * decay);
            amounts.values().removeIf(amount -> amount < NEGLIGIBLE_WORK);
        }
    }

    private static double sum(Map<Integer, Double> amounts) {
        return amounts.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
