package org.poplarwharf.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.poplarwharf.internal.fleet.RequestTraits;

/** Callers in front of a waiting policy, and room that comes free at a rate, in virtual time. */
final class ShortRoomPlay {
    static final String ALL = "all";
    static final int ACCOUNT_COUNT = 8;
    private static final long PASS_MILLIS = 20;
    private static final long SERVICE_MILLIS = 100;
    private static final double ROOM_TOKENS_PER_MILLI = 100;

    /** A kind of caller. The worth is known to the test only. */
    record Kind(
            String name,
            int priority,
            double requestsPerSecond,
            long tokens,
            long objectiveMillis,
            long deadlineMillis,
            double worth,
            double lateWorth) {}

    /** The load: how many times the room, and what happens from the third to the ninth second. */
    record Load(double factor, double burstFactor, double hotAccountFactor, double slowRoomRatio) {
        static Load steady(double factor) {
            return new Load(factor, 1, 1, 1);
        }
    }

    /** What callers got, by kind and by account: asked, served; and the total worth. */
    static final class Result {
        final Map<String, Integer> asked = new LinkedHashMap<>();
        final Map<String, Integer> served = new LinkedHashMap<>();
        double worth;

        double servedRatio(String name) {
            return served.getOrDefault(name, 0) / (double) Math.max(1, asked.getOrDefault(name, 0));
        }
    }

    private record Caller(Kind kind, String account, long arrivalMillis) {}

    private record Attempt(Caller caller, int number, long atMillis) {}

    private final WaitingPolicy policy;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, QueuedRequest> queued = new LinkedHashMap<>();
    private final PriorityQueue<Attempt> arrivals =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final Result result = new Result();

    /** An order in place of the policy's; empty to use the policy's. */
    private final Optional<Comparator<Kind>> order;

    private ShortRoomPlay(WaitingPolicy policy, Optional<Comparator<Kind>> order) {
        this.policy = policy;
        this.order = order;
    }

    static Result run(
            WaitingPolicy policy,
            Optional<Comparator<Kind>> order,
            List<Kind> kinds,
            Load load,
            long millis,
            long seed) {
        ShortRoomPlay play = new ShortRoomPlay(policy, order);
        play.addCallers(kinds, load, millis, new Random(seed));
        play.play(load, millis);
        return play.result;
    }

    private void addCallers(List<Kind> kinds, Load load, long millis, Random random) {
        double tokensPerMilli = kinds.stream()
                .mapToDouble(kind -> kind.requestsPerSecond() * kind.tokens() / 1_000)
                .sum();
        for (Kind kind : kinds) {
            double perMilli = kind.requestsPerSecond() / 1_000 * load.factor() * ROOM_TOKENS_PER_MILLI / tokensPerMilli;
            for (long atMillis = 0; atMillis < millis; atMillis++) {
                boolean disturbed = isDisturbed(atMillis);
                double all = perMilli * (disturbed ? load.burstFactor() : 1);
                double hot = all / ACCOUNT_COUNT * (disturbed ? load.hotAccountFactor() - 1 : 0);
                for (double rest = all + hot; rest > 0; rest--) {
                    if (random.nextDouble() < rest) {
                        boolean isHot = random.nextDouble() * (all + hot) < hot;
                        String account = "a" + (isHot ? 0 : random.nextInt(ACCOUNT_COUNT));
                        arrivals.add(new Attempt(new Caller(kind, account, atMillis), 1, atMillis));
                        result.asked.merge(kind.name(), 1, Integer::sum);
                        result.asked.merge(account, 1, Integer::sum);
                        result.asked.merge(ALL, 1, Integer::sum);
                    }
                }
            }
        }
    }

    private static boolean isDisturbed(long atMillis) {
        return atMillis >= 3_000 && atMillis < 9_000;
    }

    private void play(Load load, long millis) {
        double freeTokens = 0;
        for (long passMillis = 0; passMillis < millis + 20_000; passMillis += PASS_MILLIS) {
            long now = passMillis;
            freeTokens = Math.min(freeTokens, 0)
                    + PASS_MILLIS * ROOM_TOKENS_PER_MILLI * (isDisturbed(now) ? load.slowRoomRatio() : 1);
            while (!arrivals.isEmpty() && arrivals.peek().atMillis() <= now) {
                accept(arrivals.remove(), now);
            }
            for (QueuedRequest next : inOrder(now)) {
                if (next.request().deadlineMillis() < now) {
                    queued.remove(next.request().key());
                } else if (freeTokens > 0) {
                    freeTokens -= next.workTokens();
                    grant(next, now);
                } else {
                    policy.refusalIfFull(next, now).ifPresent(refusal -> refuse(next, refusal, now));
                }
            }
        }
    }

    private List<QueuedRequest> inOrder(long nowMillis) {
        List<QueuedRequest> ordered = new ArrayList<>(policy.inOrder(List.copyOf(queued.values()), nowMillis));
        order.ifPresent(byKind -> ordered.sort(Comparator.comparing(
                next -> attempts.get(next.request().key()).caller().kind(), byKind)));
        return ordered;
    }

    private void accept(Attempt attempt, long nowMillis) {
        Kind kind = attempt.caller().kind();
        String key = "r" + attempts.size();
        attempts.put(key, attempt);
        long arrivalMillis = attempt.caller().arrivalMillis();
        RequestTraits traits = new RequestTraits(
                key,
                OptionalLong.empty(),
                Optional.of("m"),
                Optional.empty(),
                kind.tokens(),
                0,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        DispatchRequest request = new DispatchRequest(
                key,
                "z1",
                "lm",
                traits,
                kind.priority(),
                arrivalMillis + kind.deadlineMillis(),
                arrivalMillis + kind.objectiveMillis(),
                false,
                Set.of(),
                Optional.empty(),
                Optional.of(attempt.caller().account()),
                0);
        queued.put(key, policy.accept(request, nowMillis));
    }

    private void grant(QueuedRequest next, long nowMillis) {
        queued.remove(next.request().key());
        policy.recordGrant(next, nowMillis);
        long firstEventMillis = nowMillis + SERVICE_MILLIS;
        if (firstEventMillis > next.request().deadlineMillis()) {
            return;
        }
        Caller caller = attempts.get(next.request().key()).caller();
        boolean inTime = firstEventMillis <= next.request().objectiveMillis();
        result.worth += inTime ? caller.kind().worth() : caller.kind().lateWorth();
        result.served.merge(caller.kind().name(), 1, Integer::sum);
        result.served.merge(caller.account(), 1, Integer::sum);
        result.served.merge(ALL, 1, Integer::sum);
    }

    private void refuse(QueuedRequest next, WaitingPolicy.Refusal refusal, long nowMillis) {
        queued.remove(next.request().key());
        Attempt attempt = attempts.get(next.request().key());
        long leftMillis = next.request().deadlineMillis() - nowMillis;
        if (attempt.number() == 1 && leftMillis > 0) {
            long delayMillis = Math.min(refusal.retryAfterMillis(), leftMillis / 3);
            arrivals.add(new Attempt(attempt.caller(), 2, nowMillis + Math.max(1, delayMillis)));
        }
    }
}
