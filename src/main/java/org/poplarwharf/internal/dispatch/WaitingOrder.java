package org.poplarwharf.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The order in which waiting requests are served while there is too little room: classes by {@link WorkShares}, within a
 * class accounts that didn't get more than the others, and among these the requests that can still meet their objective,
 * then those whose callers return when they were told to, then the earliest deadline. Answers steady overload and one hot
 * account.
 *
 * <p>Size has no place in the order within a class, so that large requests are served as often as small ones.
 * Stateless and thread-safe.
 */
final class WaitingOrder {
    /**
     * An account that got more than this many times the mean of the waiting accounts goes after them. Below it, an order
     * by accounts would only make requests late.
     */
    private static final double MAX_ACCOUNT_RATIO = 1.25;

    private WaitingOrder() {}

    /** Returns the requests in the order in which they should be served if one after the other gets room. */
    static List<QueuedRequest> of(Collection<QueuedRequest> waiting, WorkShares shares, long nowMillis) {
        Comparator<QueuedRequest> order = orderOfEquals(nowMillis);
        Map<Integer, Map<Optional<String>, Deque<QueuedRequest>>> classes = groups(waiting, order);
        Set<Integer> pressed = pressedClasses(waiting, nowMillis);
        WorkShares tried = shares.copy();
        List<QueuedRequest> ordered = new ArrayList<>();
        while (!classes.isEmpty()) {
            int priority = tried.nextClass(classes.keySet(), pressed).orElseThrow();
            Map<Optional<String>, Deque<QueuedRequest>> accounts = classes.get(priority);
            Optional<String> account = nextAccount(accounts, tried, order);
            Deque<QueuedRequest> requests = accounts.get(account);
            QueuedRequest next = requests.removeFirst();
            ordered.add(next);
            tried.recordServed(priority, account, next.workTokens(), nowMillis);
            if (requests.isEmpty()) {
                accounts.remove(account);
            }
            if (accounts.isEmpty()) {
                classes.remove(priority);
            }
        }
        return ordered;
    }

    private static Map<Integer, Map<Optional<String>, Deque<QueuedRequest>>> groups(
            Collection<QueuedRequest> waiting, Comparator<QueuedRequest> order) {
        List<QueuedRequest> sorted = new ArrayList<>(waiting);
        sorted.sort(order);
        Map<Integer, Map<Optional<String>, Deque<QueuedRequest>>> classes = new TreeMap<>();
        for (QueuedRequest queued : sorted) {
            classes.computeIfAbsent(queued.request().priority(), priority -> new HashMap<>())
                    .computeIfAbsent(queued.request().account(), account -> new ArrayDeque<>())
                    .add(queued);
        }
        return classes;
    }

    private static Comparator<QueuedRequest> orderOfEquals(long nowMillis) {
        return Comparator.comparing((QueuedRequest queued) ->
                        queued.request().objectiveMillis() < nowMillis + Dispatcher.MIN_SERVICE_MILLIS)
                .thenComparing(queued -> !queued.returned())
                .thenComparingLong(queued -> queued.request().deadlineMillis())
                .thenComparingLong(QueuedRequest::queuedAtMillis)
                .thenComparing(queued -> queued.request().key());
    }

    /** Returns the classes with a request that has waited for half of the time to its objective. */
    private static Set<Integer> pressedClasses(Collection<QueuedRequest> waiting, long nowMillis) {
        Set<Integer> pressed = new HashSet<>();
        for (QueuedRequest queued : waiting) {
            if (nowMillis - queued.queuedAtMillis() > queued.request().objectiveMillis() - nowMillis) {
                pressed.add(queued.request().priority());
            }
        }
        return pressed;
    }

    /** Returns the account with the first request among those that didn't get clearly more than the others. */
    private static Optional<String> nextAccount(
            Map<Optional<String>, Deque<QueuedRequest>> accounts, WorkShares shares, Comparator<QueuedRequest> order) {
        double meanWork = accounts.keySet().stream()
                .mapToDouble(shares::servedWork)
                .average()
                .orElse(0);
        Optional<String> next = Optional.empty();
        QueuedRequest first = null;
        for (Map.Entry<Optional<String>, Deque<QueuedRequest>> entry : accounts.entrySet()) {
            QueuedRequest candidate = entry.getValue().getFirst();
            boolean hasMore = shares.servedWork(entry.getKey()) > meanWork * MAX_ACCOUNT_RATIO;
            if (!hasMore && (first == null || order.compare(candidate, first) < 0)) {
                next = entry.getKey();
                first = candidate;
            }
        }
        return next;
    }
}
