package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Checks the invariants that all calls, runs and orders of a soak test must meet, whichever faults were injected.
 *
 * <p>Not thread-safe.
 */
final class InvariantChecker {
    /** A response counts as late if it takes this much longer than its route's timeout. */
    private static final long RESPONSE_MARGIN_MILLIS = 500;

    /**
     * Late responses of gateways without faults are reported only if there are more than this many, and more than a quarter
     * of the requests that reached their timeout.
     */
    private static final int ALLOWED_LATE_COUNT = 8;

    /** Orders received this soon after a fault's end are not checked: they may have been in transit during it. */
    private static final long ORDER_MARGIN_MILLIS = 300;

    private static final int ALLOWED_EXTRA_LOAD_COUNT = 3;

    private static final int ALLOWED_LATE_CRASH_COUNT = 3;

    private static final long LIMIT_WINDOW_MILLIS = 4_000;

    /** The time after a target has first named a limit from which the limit must be kept. */
    private static final long LIMIT_SETTLING_MILLIS = 3_000;

    private static final double ALLOWED_LIMIT_RATIO = 1.5;
    private static final int ALLOWED_EXTRA_ARRIVAL_COUNT = 5;

    private final List<RecordedCall> calls;
    private final Map<String, List<TargetActivity.Run>> runs;
    private final TargetActivity activity;
    private final FaultTimeline faults;
    private final List<String> violations = new ArrayList<>();

    InvariantChecker(List<RecordedCall> calls, TargetActivity activity, FaultTimeline faults) {
        this.calls = calls;
        this.activity = activity;
        this.runs = activity.runsByRequestId();
        this.faults = faults;
    }

    /** Returns the violated invariants, one line each. */
    List<String> violations() {
        calls.forEach(this::check);
        checkRunsMatchRequests();
        runs.values().forEach(this::checkSoftwareVersions);
        checkResponseTimes();
        checkOrders();
        checkStoreLoads();
        for (CrashingCaller.Cause cause : CrashingCaller.Cause.values()) {
            checkCrashingRequests(cause);
        }
        activity.limitPeriods().forEach(this::checkLimit);
        violations.addAll(activity.violations());
        return violations;
    }

    private void check(RecordedCall call) {
        List<TargetActivity.Run> callRuns = runs.getOrDefault(call.id(), List.of());
        if (!call.kind().retryable && callRuns.size() > 1) {
            addViolation("ran more than once", call);
        }
        if (call.indicatesNotRun() && call.complete() && !callRuns.isEmpty()) {
            addViolation("ran although its response says that it did not", call);
        }
        if (ResumingCaller.isCallerOf(call)) {
            return; // Leaves its streams early; the versions of their runs are checked.
        }
        if (call.isSuccessful()) {
            checkSuccessfulCall(call, callRuns);
        }
        if (call.kind().streaming && call.status() == 200) {
            checkEvents(call);
        }
        boolean isLost = call.isIncomplete()
                && !callRuns.isEmpty()
                && !beganTooLate(call, callRuns)
                && faults.hasNoUnplannedFault(call.sentMillis(), call.endMillis());
        if (isLost) {
            addViolation("was lost without an unplanned fault", call);
        }
    }

    /** Returns whether a stream began so late that its caller's timeout is reached before its last event. */
    private static boolean beganTooLate(RecordedCall call, List<TargetActivity.Run> callRuns) {
        long latestStartMillis = call.sentMillis() + call.kind().timeoutMillis - SoakEngine.streamMillis(call.id());
        return call.kind().streaming && callRuns.stream().allMatch(run -> run.startMillis() > latestStartMillis);
    }

    private void checkSuccessfulCall(RecordedCall call, List<TargetActivity.Run> callRuns) {
        if (!call.hasDigest() || !call.responseId().equals(call.id()) || callRuns.isEmpty()) {
            addViolation("succeeded without digest, matching request id or run", call);
        }
        if (!call.kind().streaming && !call.body().equals(SoakTarget.responseBody(call.id()))) {
            addViolation("has the response body of another request", call);
        }
    }

    /** Checks that each event arrives once and in order, and that a complete stream contains all events. */
    private void checkEvents(RecordedCall call) {
        StringBuilder expected = new StringBuilder();
        for (int number = 1; number <= SoakEngine.EVENT_COUNT; number++) {
            expected.append(SoakEngine.eventText(call.id(), number));
        }
        boolean isCorrect = call.complete()
                ? call.body().contentEquals(expected)
                : expected.toString().startsWith(call.body());
        if (!isCorrect) {
            addViolation("has missing or duplicate events, or events of another request", call);
        }
    }

    /** Checks that a stream, over the runs of one request or of those that resume it, has one software version. */
    private void checkSoftwareVersions(List<TargetActivity.Run> requestRuns) {
        TargetActivity.Run began = null;
        List<TargetActivity.Run> ordered = requestRuns.stream()
                .sorted(Comparator.comparingLong(TargetActivity.Run::startMillis))
                .toList();
        for (TargetActivity.Run run : ordered) {
            if (run.lastEventId() == 0) {
                began = run;
            } else if (began == null) {
                began = runs.getOrDefault(ResumingCaller.beganId(run.id()), List.of()).stream()
                        .filter(other -> other.lastEventId() == 0)
                        .max(Comparator.comparingLong(TargetActivity.Run::startMillis))
                        .orElse(null);
            }
            boolean isMixed = began != null
                    && !SoakTarget.softwareVersion(began.target()).equals(SoakTarget.softwareVersion(run.target()));
            if (isMixed && run.lastEventId() > 0) {
                violations.add("a stream was continued at another software version: " + began + ", then " + run);
            }
        }
    }

    private void checkRunsMatchRequests() {
        Map<String, RecordedCall> byId = calls.stream().collect(Collectors.toMap(RecordedCall::id, call -> call));
        runs.forEach((id, callRuns) -> {
            RecordedCall call = byId.get(id);
            for (TargetActivity.Run run : callRuns) {
                boolean isMatching = call != null
                        && run.requestLine().equals("POST " + call.path() + " HTTP/1.1")
                        && run.body().equals(SoakHttpConnection.body(id, call.path()));
                if (!isMatching) {
                    violations.add("ran without a request or with changed content: " + run);
                }
            }
        });
    }

    private void checkResponseTimes() {
        List<RecordedCall> timedOut = calls.stream()
                .filter(call -> call.durationMillis() >= call.kind().timeoutMillis)
                .filter(call -> faults.hasNoFaultOn(call.sentMillis(), call.endMillis(), call.gatewayName()))
                .toList();
        List<RecordedCall> late = timedOut.stream()
                .filter(call -> call.durationMillis() > call.kind().timeoutMillis + RESPONSE_MARGIN_MILLIS)
                .toList();
        if (late.size() > ALLOWED_LATE_COUNT && late.size() * 4 > timedOut.size()) {
            late.forEach(call -> addViolation("has no response in time from a gateway without faults", call));
        }
    }

    /** Checks that requests which have crashed some targets are no longer sent to others. */
    private void checkCrashingRequests(CrashingCaller.Cause cause) {
        Map<String, RecordedCall> crashingCalls = calls.stream()
                .filter(call -> cause.isCauseOf(call.path()))
                .collect(Collectors.toMap(RecordedCall::id, call -> call));
        List<TargetActivity.Run> crashes = runs.values().stream()
                .flatMap(List::stream)
                .filter(run -> crashingCalls.containsKey(run.id()))
                .sorted(Comparator.comparingLong(TargetActivity.Run::startMillis))
                .toList();
        if (crashes.size() < cause.toleratedCrashCount) {
            return;
        }
        long boundMillis =
                crashes.get(cause.toleratedCrashCount - 1).startMillis() + FaultTimeline.RECOVERY_MARGIN_MILLIS;
        List<TargetActivity.Run> late = crashes.stream()
                .filter(run -> run.startMillis() > boundMillis)
                .filter(run -> faults.hasNoFaultOn(
                        run.startMillis(),
                        run.startMillis(),
                        crashingCalls.get(run.id()).gatewayName(),
                        "log"))
                .toList();
        if (late.size() > ALLOWED_LATE_CRASH_COUNT) {
            violations.add("requests that crash targets were still sent to targets: " + cause + " " + late);
        }
    }

    /** Checks that a target which names a limit gets no more requests from the gateways without faults. */
    private void checkLimit(TargetActivity.LimitPeriod period) {
        Map<String, RecordedCall> byId = calls.stream().collect(Collectors.toMap(RecordedCall::id, call -> call));
        List<TargetActivity.Arrival> arrivals = activity.arrivalsAt(period.target()).stream()
                .filter(arrival -> byId.containsKey(arrival.requestId()))
                .filter(arrival ->
                        arrival.arrivedMillis() >= period.startMillis() && arrival.arrivedMillis() < period.endMillis())
                .sorted(Comparator.comparingLong(TargetActivity.Arrival::arrivedMillis))
                .toList();
        if (arrivals.isEmpty()) {
            return;
        }
        long checkedFromMillis = arrivals.get(0).arrivedMillis() + LIMIT_SETTLING_MILLIS;
        double allowed = ALLOWED_LIMIT_RATIO * period.requestsPerSecond() * LIMIT_WINDOW_MILLIS / 1_000
                + ALLOWED_EXTRA_ARRIVAL_COUNT;
        for (TargetActivity.Arrival first : arrivals) {
            long fromMillis = first.arrivedMillis();
            long toMillis = fromMillis + LIMIT_WINDOW_MILLIS;
            long count = arrivals.stream()
                    .filter(arrival -> arrival.arrivedMillis() >= fromMillis && arrival.arrivedMillis() < toMillis)
                    .filter(arrival -> faults.hasNoFaultOn(
                            fromMillis, toMillis, byId.get(arrival.requestId()).gatewayName()))
                    .count();
            if (fromMillis >= checkedFromMillis && count > allowed) {
                violations.add("a target that named a limit got " + count + " requests from " + fromMillis
                        + " ms on, allowed " + allowed + ": " + period);
                return;
            }
        }
    }

    /**
     * Checks that a target gets orders from one holder at a time: fencing numbers never decrease, differ between holders,
     * and orders of two holders are at least a lease duration apart.
     */
    private void checkOrders() {
        activity.ordersByIncarnation().forEach((incarnation, orders) -> {
            List<TargetActivity.Order> checked = orders.stream()
                    .filter(order -> faults.lastEndBefore(order.receivedMillis())
                            .map(end -> end + ORDER_MARGIN_MILLIS < order.receivedMillis())
                            .orElse(true))
                    .sorted(Comparator.comparingLong(TargetActivity.Order::receivedMillis))
                    .toList();
            for (int i = 1; i < checked.size(); i++) {
                TargetActivity.Order previous = checked.get(i - 1);
                TargetActivity.Order order = checked.get(i);
                boolean isOtherHolder = !previous.holder().equals(order.holder());
                boolean isTooEarly =
                        isOtherHolder && order.receivedMillis() - previous.receivedMillis() < SoakGateway.LEASE_MILLIS;
                boolean hasSameFencing = isOtherHolder && previous.fencingNumber() == order.fencingNumber();
                if (isTooEarly || hasSameFencing || order.fencingNumber() < previous.fencingNumber()) {
                    violations.add("orders of two holders overlap: " + previous + ", then " + order);
                }
            }
        });
    }

    /** Checks that loads from the weight store stay within their rate limit in each window without a log fault. */
    private void checkStoreLoads() {
        long windowMillis = SoakGateway.LOAD_WINDOW_SECONDS * 1_000;
        List<Long> starts = activity.orders().stream()
                .filter(TargetActivity.Order::loadsFromStore)
                .map(TargetActivity.Order::receivedMillis)
                .sorted()
                .toList();
        double limit = SoakFleet.LOADS_PER_SECOND * SoakGateway.LOAD_WINDOW_SECONDS * SoakGateway.LOAD_WINDOW_FACTOR
                + ALLOWED_EXTRA_LOAD_COUNT;
        for (int i = 0; i < starts.size(); i++) {
            long from = starts.get(i);
            long inWindow = starts.stream()
                    .filter(at -> at >= from && at < from + windowMillis)
                    .count();
            if (inWindow > limit && faults.hasNoFaultOn(from, from + windowMillis, "log")) {
                violations.add("too many loads from the store in a window: " + inWindow + ", limit " + limit);
            }
        }
    }

    /**
     * Returns what has not recovered after all faults have ended: gateways that serve less than a quarter of the requests of
     * a kind, and models for which no gateway serves any of at least 4 requests.
     */
    static List<String> findUnrecovered(List<RecordedCall> callsAfterFaults, Set<String> gateways) {
        List<String> unrecovered = new ArrayList<>();
        for (String gateway : new TreeSet<>(gateways)) {
            for (CallKind kind : CallKind.values()) {
                List<RecordedCall> requests = callsAfterFaults.stream()
                        .filter(call ->
                                call.kind() == kind && call.gatewayName().equals(gateway))
                        .toList();
                long successCount =
                        requests.stream().filter(RecordedCall::isSuccessful).count();
                if (!requests.isEmpty() && successCount * 4 < requests.size()) {
                    unrecovered.add(gateway + " served " + successCount + " of " + requests.size()
                            + " requests of kind " + kind);
                }
            }
        }
        Map<String, List<RecordedCall>> byModel = callsAfterFaults.stream()
                .filter(call -> !call.model().isEmpty())
                .collect(Collectors.groupingBy(RecordedCall::model));
        byModel.forEach((model, requests) -> {
            if (requests.size() >= 4 && requests.stream().noneMatch(RecordedCall::isSuccessful)) {
                unrecovered.add("no gateway served " + model + " in " + requests.size() + " requests: " + requests);
            }
        });
        return unrecovered;
    }

    private void addViolation(String description, RecordedCall call) {
        violations.add(
                call.id() + " " + description + ": " + call + ", runs: " + runs.getOrDefault(call.id(), List.of()));
    }
}
