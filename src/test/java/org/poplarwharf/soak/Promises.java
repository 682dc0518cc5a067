package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What must hold of all calls, runs and orders of a soak, whatever struck meanwhile.
 *
 * <p>Stateless but for what it is given; for one thread.
 */
final class Promises {
    /** An answer is due this soon after its route's timeout. */
    private static final long LATE_MILLIS = 500;

    /** So many late answers at gateways that nothing struck are let pass, and a quarter of those that time ran out for. */
    private static final int MOST_LATE = 8;

    /** An order that was on its way when a pause or a break ended is judged no more. */
    private static final long THAW_MILLIS = 300;

    private static final int LOADS_SLACK = 3;

    private final List<Call> calls;
    private final Map<String, List<Runs.Run>> runs;
    private final Runs all;
    private final FaultLog faults;
    private final List<String> broken = new ArrayList<>();

    Promises(List<Call> calls, Runs all, FaultLog faults) {
        this.calls = calls;
        this.all = all;
        this.runs = all.byRequest();
        this.faults = faults;
    }

    /** Returns what was broken, one line each. */
    List<String> broken() {
        calls.forEach(this::check);
        checkRunsAreAskedFor();
        checkLateness();
        checkOrders();
        checkLoads();
        broken.addAll(all.breaches());
        return broken;
    }

    private void check(Call call) {
        List<Runs.Run> ran = runs.getOrDefault(call.id(), List.of());
        if (!call.kind().repeatable && ran.size() > 1) {
            broken("ran twice", call);
        }
        if (call.saysNotRun() && call.complete() && !ran.isEmpty()) {
            broken("said not to have run, and ran", call);
        }
        if (call.served()) {
            checkSuccess(call, ran);
        }
        if (call.kind().stream && call.status() == 200) {
            checkEvents(call);
        }
        boolean lost = call.cut() && !ran.isEmpty() && faults.calm(call.sentMillis(), call.endMillis());
        if (lost) {
            broken("was lost while nothing but planned work went on", call);
        }
    }

    private void checkSuccess(Call call, List<Runs.Run> ran) {
        if (!call.digest() || !call.answeredId().equals(call.id()) || ran.isEmpty()) {
            broken("is a success without digest, id or run", call);
        }
        if (!call.kind().stream && !call.body().equals(SoakTarget.body(call.id()))) {
            broken("has the body of another answer", call);
        }
    }

    /** Listener come each once and in order; a stream that looks complete has them all. */
    private void checkEvents(Call call) {
        StringBuilder whole = new StringBuilder();
        for (int number = 1; number <= ModelEngine.EVENTS; number++) {
            whole.append(ModelEngine.event(call.id(), number));
        }
        boolean right = call.complete()
                ? call.body().contentEquals(whole)
                : whole.toString().startsWith(call.body());
        if (!right) {
            broken("has events missing, doubled or of another", call);
        }
    }

    private void checkRunsAreAskedFor() {
        Map<String, Call> byId = calls.stream().collect(Collectors.toMap(Call::id, call -> call));
        runs.forEach((id, ran) -> {
            Call call = byId.get(id);
            for (Runs.Run run : ran) {
                boolean asked = call != null
                        && run.line().equals("POST " + call.path() + " HTTP/1.1")
                        && run.body().equals("body of " + id);
                if (!asked) {
                    broken.add("ran unasked or changed: " + run);
                }
            }
        });
    }

    private void checkLateness() {
        List<Call> due = calls.stream()
                .filter(call -> call.tookMillis() >= call.kind().timeoutMillis)
                .filter(call -> faults.untouched(call.sentMillis(), call.endMillis(), gateway(call)))
                .toList();
        List<Call> late = due.stream()
                .filter(call -> call.tookMillis() > call.kind().timeoutMillis + LATE_MILLIS)
                .toList();
        if (late.size() > MOST_LATE && late.size() * 4 > due.size()) {
            late.forEach(call -> broken("has no answer in time at a gateway that nothing struck", call));
        }
    }

    private static String gateway(Call call) {
        return call.process().substring(0, call.process().indexOf('/'));
    }

    /** Orders to a target come from one holder at a time, with numbers that never fall. */
    private void checkOrders() {
        all.ordersByLifetime().forEach((lifetime, orders) -> {
            List<Runs.Order> judged = orders.stream()
                    .filter(order -> faults.lastEnd(order.atMillis())
                            .map(end -> end + THAW_MILLIS < order.atMillis())
                            .orElse(true))
                    .sorted(Comparator.comparingLong(Runs.Order::atMillis))
                    .toList();
            for (int i = 1; i < judged.size(); i++) {
                Runs.Order before = judged.get(i - 1);
                Runs.Order order = judged.get(i);
                boolean other = !before.holder().equals(order.holder());
                boolean turns = other && order.atMillis() - before.atMillis() < SoakGateway.LEASE_MILLIS;
                boolean same = other && before.fencingNumber() == order.fencingNumber();
                if (turns || same || order.fencingNumber() < before.fencingNumber()) {
                    broken.add("orders of two holders: " + before + " and then " + order);
                }
            }
        });
    }

    /** Loads from the weight store keep to their rate in each window, where the log was sound. */
    private void checkLoads() {
        long windowMillis = SoakGateway.LOAD_WINDOW_SECONDS * 1_000;
        List<Long> starts = all.orders().stream()
                .filter(Runs.Order::fromStore)
                .map(Runs.Order::atMillis)
                .sorted()
                .toList();
        double most = SoakFleet.LOADS_PER_SECOND * SoakGateway.LOAD_WINDOW_SECONDS * SoakGateway.LOAD_WINDOW_FACTOR
                + LOADS_SLACK;
        for (int i = 0; i < starts.size(); i++) {
            long from = starts.get(i);
            long inWindow = starts.stream()
                    .filter(at -> at >= from && at < from + windowMillis)
                    .count();
            if (inWindow > most && faults.untouched(from, from + windowMillis, "log")) {
                broken.add("loads from the store in a window: " + inWindow + " of " + most);
            }
        }
    }

    /**
     * Returns what has not come back though every fault ended long before: gateways that serve less than a quarter of a
     * kind, and models that no gateway serves.
     */
    static List<String> notRecovered(List<Call> after, Set<String> gateways) {
        List<String> missing = new ArrayList<>();
        for (String gateway : new TreeSet<>(gateways)) {
            for (CallKind kind : CallKind.values()) {
                List<Call> asked = after.stream()
                        .filter(call -> call.kind() == kind && gateway(call).equals(gateway))
                        .toList();
                long served = asked.stream().filter(Call::served).count();
                if (!asked.isEmpty() && served * 4 < asked.size()) {
                    missing.add(gateway + " serves " + served + " of " + asked.size() + " " + kind);
                }
            }
        }
        Map<String, List<Call>> byModel =
                after.stream().filter(call -> !call.model().isEmpty()).collect(Collectors.groupingBy(Call::model));
        byModel.forEach((model, asked) -> {
            if (asked.size() >= 4 && asked.stream().noneMatch(Call::served)) {
                missing.add("no gateway serves " + model + " of " + asked.size() + " asked");
            }
        });
        return missing;
    }

    private void broken(String what, Call call) {
        broken.add(call.id() + " " + what + ": " + call + ", ran " + runs.getOrDefault(call.id(), List.of()));
    }
}
