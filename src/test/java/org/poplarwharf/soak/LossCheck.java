package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.poplarwharf.soak.FaultInjector.Kind;

/**
 * Checks that no request is lost: one that its caller has sent whole gets a response or a refusal, and is not given up
 * before its caller's deadline while its targets are sound.
 *
 * <p>Only a fault of the request's gateway, or one of a target that it has or may have reached, excuses its loss. The end of
 * a gateway that drains excuses the loss of a request that it began before, or whose target slowed down. Immutable.
 */
final class LossCheck {
    private static final Set<String> GATEWAY_FAULTS =
            names(Kind.GATEWAY_KILLED, Kind.GATEWAY_PAUSED, Kind.GATEWAY_PAUSED_LONG, Kind.POWER_LOST);

    /** Faults under which a target breaks responses off, or gives wrong ones, to requests that it has recorded. */
    private static final Set<String> RESPONSE_FAULTS = names(
            Kind.TARGET_ABORTS_RESPONSES,
            Kind.TARGET_OMITS_FRAMING,
            Kind.TARGET_REPEATS_REFUSALS,
            Kind.TARGET_FAILS_RUNS,
            Kind.TARGET_SENDS_MALFORMED);

    /** Faults under which a target may have been sent requests that it has not recorded. */
    private static final Set<String> REACHABILITY_FAULTS = names(
            Kind.TARGET_CRASHES,
            Kind.TARGET_DRAINS,
            Kind.TARGET_LINK_SILENT,
            Kind.TARGET_LINK_ONE_WAY,
            Kind.TARGET_LINK_FROZEN,
            Kind.TARGET_LINK_RESET);

    /** Statuses by which a gateway says that it has given a request up. */
    private static final Set<Integer> GIVEN_UP = Set.of(500, 502);

    private static final long GRACE_MILLIS = SoakGateway.SHUTDOWN_GRACE_SECONDS * 1_000;

    /** Faults under which a target takes longer than it did before. */
    private static final Set<String> SLOW_FAULTS =
            names(Kind.TARGET_SILENT, Kind.TARGET_SLOW, Kind.TARGET_LINK_SLOW, Kind.ORDERS_DELAYED);

    /** A gateway learns of its signal within this time. */
    private static final long SIGNAL_MILLIS = 300;

    /** A gateway exits this long before the end of its shutdown grace period, with requests in flight. */
    private static final long EXIT_MARGIN_MILLIS = 500;

    /** A request sent while its gateway closes an idle connection is not read; its caller learns of the close at once. */
    private static final long MAX_CLOSE_MILLIS = 200;

    /** A gateway begins nothing for a request with less time left. */
    private static final long DEADLINE_MARGIN_MILLIS = 20;

    private final List<SoakTarget> targets;
    private final Map<String, List<TargetActivity.Arrival>> arrivals;
    private final TargetActivity activity;
    private final FaultTimeline faults;

    LossCheck(List<SoakTarget> targets, TargetActivity activity, FaultTimeline faults) {
        this.targets = targets;
        this.arrivals = activity.arrivalsByRequestId();
        this.activity = activity;
        this.faults = faults;
    }

    private static Set<String> names(Kind... kinds) {
        return Stream.of(kinds).map(Kind::name).collect(Collectors.toSet());
    }

    /** Returns the calls that were lost, one line each. */
    List<String> violations(List<RecordedCall> calls) {
        List<String> violations = new ArrayList<>();
        calls.stream()
                .filter(this::isLost)
                .forEach(call ->
                        violations.add("LOST: " + call + ", arrived: " + arrivals.getOrDefault(call.id(), List.of())));
        return violations;
    }

    private boolean isLost(RecordedCall call) {
        boolean isGivenUp = call.isIncomplete() || GIVEN_UP.contains(call.status());
        long deadlineMillis = call.sentMillis() + call.kind().timeoutMillis - DEADLINE_MARGIN_MILLIS;
        return isGivenUp
                && call.turnMillis().isPresent()
                && (call.status() == 0 || call.endMillis() < deadlineMillis)
                && !isExcusedByGateway(call)
                && !isExcusedByTarget(call);
    }

    private boolean isExcusedByGateway(RecordedCall call) {
        if (faults.hasFault(GATEWAY_FAULTS, call.gatewayName(), call.sentMillis(), call.endMillis())) {
            return true;
        }
        boolean mayBeUnread = call.status() == 0
                && call.turnMillis().getAsLong() == call.sentMillis()
                && call.durationMillis() < MAX_CLOSE_MILLIS
                && !arrivals.containsKey(call.id());
        long sinceMillis = mayBeUnread || isSlowedByTarget(call)
                ? call.sentMillis() - GRACE_MILLIS
                : call.turnMillis().getAsLong() - SIGNAL_MILLIS;
        long untilMillis = call.endMillis() - (mayBeUnread ? 0 : GRACE_MILLIS - EXIT_MARGIN_MILLIS);
        return faults.hasStart(Kind.GATEWAY_TERMINATED, call.gatewayName(), sinceMillis, untilMillis);
    }

    /** Returns whether a target with the request may have taken longer than its gateway could expect. */
    private boolean isSlowedByTarget(RecordedCall call) {
        return targets.stream().anyMatch(target -> hasArrived(call, target) && hasFault(SLOW_FAULTS, target, call));
    }

    private boolean hasArrived(RecordedCall call, SoakTarget target) {
        return arrivals.getOrDefault(call.id(), List.of()).stream()
                .anyMatch(arrival -> arrival.target().equals(target.name));
    }

    private boolean isExcusedByTarget(RecordedCall call) {
        return isGivenUpAfterLateCopy(call)
                || targets.stream()
                        .filter(target -> target.engine.isPresent() == call.kind().streaming)
                        .anyMatch(target -> {
                            return hasFault(REACHABILITY_FAULTS, target, call)
                                    || hasFault(Set.of(SoakFleet.CRASHED_BY_REQUEST), target, call)
                                    || (hasArrived(call, target) && hasFault(RESPONSE_FAULTS, target, call));
                        });
    }

    /**
     * Returns whether a request was given up that got only refusals of earlier ones. Such a refusal may follow on a kept
     * connection at any time after its target's fault.
     */
    private boolean isGivenUpAfterLateCopy(RecordedCall call) {
        Set<String> reached = arrivals.getOrDefault(call.id(), List.of()).stream()
                .map(TargetActivity.Arrival::target)
                .collect(Collectors.toSet());
        return GIVEN_UP.contains(call.status())
                && !reached.isEmpty()
                && activity.targetsWithLateCopies(call.id()).containsAll(reached);
    }

    private boolean hasFault(Set<String> kinds, SoakTarget target, RecordedCall call) {
        return faults.hasFault(kinds, target.name, call.sentMillis(), call.endMillis());
    }
}
