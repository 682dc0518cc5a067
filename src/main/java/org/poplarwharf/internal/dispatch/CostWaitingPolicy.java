package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Serves requests in {@link WaitingOrder}, and refuses at once those that can't start before their deadline behind the
 * ones that go first. Answers overload that lasts, bursts, one hot account and callers that return after a refusal.
 *
 * <p>Invariants: a class or an account gets its part of the room by {@link WorkShares}; a request that nothing goes before
 * is not refused by a forecast. Confined to one thread; the current time is passed with each call.
 */
final class CostWaitingPolicy implements WaitingPolicy {
    /** The share of the time left within which callers return after a refusal. */
    private static final long RETURN_TIME_DIVISOR = 3;

    private final DispatchActions actions;
    private final WorkShares shares = new WorkShares();
    private final RoomForecast forecast = new RoomForecast();
    private final ReturnSchedule returns = new ReturnSchedule();

    /** The work of the requests that were found waiting in this pass, by model. */
    private final Map<String, Double> workAhead = new HashMap<>();

    private final Map<String, Integer> refusedCounts = new HashMap<>();

    CostWaitingPolicy(DispatchActions actions) {
        this.actions = actions;
    }

    @Override
    public QueuedRequest accept(DispatchRequest request, long nowMillis) {
        boolean returned = returns.takePlace(request, nowMillis);
        QueuedRequest accepted = new QueuedRequest(request, nowMillis, returned);
        shares.recordAsked(request.priority(), accepted.workTokens(), nowMillis);
        return accepted;
    }

    @Override
    public boolean mayPlaceAtOnce(QueuedRequest accepted, int queuedCount) {
        String model = modelOf(accepted);
        if (queuedCount > 1 && workAhead.containsKey(model)) {
            return false;
        }
        workAhead.remove(model);
        return true;
    }

    @Override
    public List<QueuedRequest> inOrder(Collection<QueuedRequest> queued, long nowMillis) {
        forecast.retainWaiting(workAhead.keySet());
        logEnds();
        workAhead.clear();
        returns.dropExpired(nowMillis);
        return WaitingOrder.of(queued, shares, nowMillis);
    }

    @Override
    public void recordGrant(QueuedRequest granted, long nowMillis) {
        DispatchRequest request = granted.request();
        shares.recordServed(request.priority(), request.account(), granted.workTokens(), nowMillis);
        forecast.recordGrant(modelOf(granted), granted.workTokens(), nowMillis);
    }

    @Override
    public Optional<Refusal> refusalIfFull(QueuedRequest queued, long nowMillis) {
        String model = modelOf(queued);
        double ahead = workAhead.getOrDefault(model, 0.0);
        forecast.recordWaiting(model, nowMillis);
        OptionalDouble maxRate = forecast.maxWorkPerMilli(model, nowMillis);
        boolean servable = maxRate.isPresent()
                ? nowMillis + ahead / maxRate.getAsDouble() + Dispatcher.MIN_SERVICE_MILLIS
                        <= queued.request().deadlineMillis()
                : nowMillis - queued.queuedAtMillis() <= WaitingPolicy.maxWaitMillis(queued);
        if (servable) {
            workAhead.put(model, ahead + queued.workTokens());
            return Optional.empty();
        }
        workAhead.putIfAbsent(model, 0.0);
        logRefusal(model, queued, ahead, maxRate);
        return Optional.of(
                new Refusal(maxRate.isPresent() ? "room-taken" : "targets-full", retryAfterMillis(queued, nowMillis)));
    }

    /** Returns when there will be room behind the waiting requests and the callers that were told to return. */
    private long retryAfterMillis(QueuedRequest queued, long nowMillis) {
        String model = modelOf(queued);
        OptionalDouble rate = forecast.workPerMilli(model, nowMillis);
        long maxDelayMillis = (queued.request().deadlineMillis() - nowMillis) / RETURN_TIME_DIVISOR;
        if (rate.isEmpty()) {
            return returns.makePlace(queued.request(), nowMillis + RETRY_AFTER_MILLIS, 0, maxDelayMillis, nowMillis);
        }
        long waitMillis = Math.round(workAhead.get(model) / rate.getAsDouble());
        long serviceMillis = Math.round(queued.workTokens() / rate.getAsDouble());
        return returns.makePlace(
                queued.request(), nowMillis + waitMillis + serviceMillis, serviceMillis, maxDelayMillis, nowMillis);
    }

    private void logRefusal(String model, QueuedRequest queued, double ahead, OptionalDouble maxRate) {
        if (refusedCounts.merge(model, 1, Integer::sum) == 1) {
            actions.logDecision(
                    "room-short",
                    "model",
                    model,
                    "priority",
                    queued.request().priority(),
                    "workAheadTokens",
                    Math.round(ahead),
                    "maxTokensPerSecond",
                    Math.round(maxRate.orElse(0) * 1_000));
        }
    }

    private void logEnds() {
        Set<String> ended = new HashSet<>(refusedCounts.keySet());
        ended.removeAll(workAhead.keySet());
        for (String model : ended) {
            actions.logDecision("room-short-ended", "model", model, "refused", refusedCounts.remove(model));
        }
    }

    private static String modelOf(QueuedRequest queued) {
        return queued.request().model().orElse("");
    }
}
