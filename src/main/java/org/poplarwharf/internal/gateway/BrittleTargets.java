package org.poplarwharf.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.poplarwharf.internal.fleet.Target;

/**
 * This node's share of the requests at targets that are brittle: those that fail if they decline more than a stated number of
 * requests of all nodes within a second.
 *
 * <p>Invariants: if each node knows the number of nodes or a higher one, all of them together have no more requests in flight at
 * a brittle target than its slots and a safe part of the stated number. If there are more nodes than that, only as many use the
 * target, chosen by their positions; a node that doesn't know its position has a turn for a part of the time, drawn by itself. A
 * node that was declined sends nothing to the target for more than a second, so that all that are declined within a second
 * are in flight together. A target that runs as many requests as it has slots therefore declines less than the stated
 * number, whether or not other nodes respond. Bounded by the targets and services. Confined to one thread; the current
 * time is passed with each call.
 */
final class BrittleTargets {
    /** Only this part of the stated number is used, because nodes may disagree about the number of nodes. */
    private static final double SAFETY_RATIO = 0.7;

    /** Assumed until the number of nodes is known. */
    private static final int UNKNOWN_NODE_COUNT = 50;

    /** Nodes that are cut off from the holder keep their share, so the others' shares must not grow meanwhile. */
    private static final long NODE_COUNT_HOLD_MILLIS = 60_000;

    /** The second in which a target counts, and the time that a request needs to reach it. */
    private static final long MIN_HOLD_MILLIS = 1_250;

    private static final long MAX_HOLD_MILLIS = 30_000;

    /** A request that was given up may occupy its target for this long. */
    private static final long LINGER_MILLIS = 500;

    /** After it was declined, a node uses no more than its share of the slots for this long. */
    private static final long CAUTIOUS_MILLIS = 10_000;

    private static final long TURN_MILLIS = 4_000;

    /** For this long, a statement also holds for the service's targets that have stated nothing themselves, such as new ones. */
    private static final long SERVICE_STATEMENT_MILLIS = 30_000;

    /** The time until one of the requests in flight has probably ended. */
    private static final long FULL_WAIT_MILLIS = 200;

    private final String nodeId;
    private final NodeCountEstimate nodeCount = new NodeCountEstimate();
    private Optional<Integer> position = Optional.empty();
    private final Map<String, State> byTarget = new HashMap<>();
    private final Map<String, Statement> latestByService = new HashMap<>();

    /** What a response has changed. */
    enum Change {
        NONE,
        /** The target has become brittle, or states another number. */
        STATED,
        /** The target is not brittle any more. */
        ENDED
    }

    private record Statement(double declinesPerSecond, long firstMillis, long lastMillis) {}

    private static final class State {
        private OptionalDouble declinesPerSecond = OptionalDouble.empty();
        private long statedMillis;
        private long unstatedSentMillis = Long.MIN_VALUE;
        private int inFlightCount;
        private final Deque<Long> lingerEndMillis = new ArrayDeque<>();
        private long holdEndMillis = Long.MIN_VALUE;
        private long cautiousEndMillis = Long.MIN_VALUE;
    }

    /** A request in flight at one incarnation of a target. */
    static final class InFlight {
        private final State state;

        private InFlight(State state) {
            this.state = state;
        }

        /** Records, once, that the request has ended at its target, or has been given up and may go on there for a moment. */
        void end(boolean completed, long nowMillis) {
            state.inFlightCount--;
            if (!completed) {
                state.lingerEndMillis.add(nowMillis + LINGER_MILLIS);
            }
        }
    }

    BrittleTargets(String nodeId) {
        this.nodeId = nodeId;
    }

    /** Records the number of nodes that share the targets and the position of this one, as the lease holder reports it. */
    void recordNodes(int count, Optional<Integer> latestPosition, long nowMillis) {
        nodeCount.recordReport(count, nowMillis, NODE_COUNT_HOLD_MILLIS);
        if (count == nodeCount.count() && latestPosition.isPresent()) {
            // A holder that knows fewer nodes counts their positions differently.
            position = latestPosition;
        }
    }

    /** Records that a request is sent to a target. */
    InFlight recordSent(Target target) {
        State state = state(target);
        state.inFlightCount++;
        return new InFlight(state);
    }

    /**
     * Records a response of a target.
     *
     * @param declinesPerSecond what the response states
     * @param declined whether it states that the target has not run the request
     * @param sentMillis when the request was sent
     */
    Change recordResponse(
            Target target, OptionalDouble declinesPerSecond, boolean declined, long sentMillis, long nowMillis) {
        State state = state(target);
        Change change = Change.NONE;
        if (declinesPerSecond.isPresent()) {
            change = declinesPerSecond.equals(state.declinesPerSecond) ? Change.NONE : Change.STATED;
            state.declinesPerSecond = declinesPerSecond;
            state.statedMillis = nowMillis;
            recordForService(target.service(), declinesPerSecond.getAsDouble(), nowMillis);
        } else if (!declined) {
            state.unstatedSentMillis = Math.max(state.unstatedSentMillis, sentMillis);
            // Responses to earlier requests may arrive late.
            if (state.declinesPerSecond.isPresent() && sentMillis > state.statedMillis) {
                state.declinesPerSecond = OptionalDouble.empty();
                change = Change.ENDED;
            }
        }
        if (declined && isBrittle(target, nowMillis)) {
            hold(target, state, nowMillis);
        }
        return change;
    }

    private void recordForService(String service, double declinesPerSecond, long nowMillis) {
        Statement latest = latestByService.get(service);
        boolean continued = latest != null && nowMillis - latest.lastMillis < SERVICE_STATEMENT_MILLIS;
        latestByService.put(
                service, new Statement(declinesPerSecond, continued ? latest.firstMillis : nowMillis, nowMillis));
    }

    /** Keeps the target free of this node's requests for so long that all nodes together are declined rarely enough. */
    private void hold(Target target, State state, long nowMillis) {
        double safePerSecond = SAFETY_RATIO * limit(target, nowMillis).orElse(0);
        double shareMillis = safePerSecond > 0 ? 1_000 * nodeCount() / safePerSecond : MAX_HOLD_MILLIS;
        double endMillis = Math.max(state.holdEndMillis, nowMillis) + Math.min(shareMillis, MAX_HOLD_MILLIS);
        state.holdEndMillis = (long) Math.clamp(endMillis, nowMillis + MIN_HOLD_MILLIS, nowMillis + MAX_HOLD_MILLIS);
        state.cautiousEndMillis = nowMillis + CAUTIOUS_MILLIS;
    }

    /** Returns whether the target, or its service, is brittle as far as this node knows. */
    boolean isBrittle(Target target, long nowMillis) {
        return limit(target, nowMillis).isPresent();
    }

    private OptionalDouble limit(Target target, long nowMillis) {
        State state = byTarget.get(target.id());
        if (state != null && state.declinesPerSecond.isPresent()) {
            return state.declinesPerSecond;
        }
        Statement latest = latestByService.get(target.service());
        boolean applies = latest != null
                && nowMillis - latest.lastMillis < SERVICE_STATEMENT_MILLIS
                && (state == null || state.unstatedSentMillis <= latest.firstMillis);
        return applies ? OptionalDouble.of(latest.declinesPerSecond) : OptionalDouble.empty();
    }

    /** Returns whether a target of a service has stated a short time ago that it is brittle. */
    boolean hasRecentStatements(String service, long nowMillis) {
        Statement latest = latestByService.get(service);
        return latest != null && nowMillis - latest.lastMillis < SERVICE_STATEMENT_MILLIS;
    }

    /** Returns the time until this node may send the target a request; zero if it may now. */
    long waitMillis(Target target, long nowMillis) {
        OptionalDouble limit = limit(target, nowMillis);
        State state = byTarget.get(target.id());
        if (limit.isEmpty()) {
            return 0;
        }
        int allowedCount = allowedCount(target, state, limit.getAsDouble(), nowMillis);
        if (state == null) {
            return allowedCount > 0 ? 0 : millisToNextTurn(nowMillis);
        }
        state.lingerEndMillis.removeIf(endMillis -> endMillis <= nowMillis);
        if (state.holdEndMillis > nowMillis) {
            return state.holdEndMillis - nowMillis;
        }
        if (allowedCount == 0) {
            return millisToNextTurn(nowMillis);
        }
        return state.inFlightCount + state.lingerEndMillis.size() < allowedCount ? 0 : FULL_WAIT_MILLIS;
    }

    /** Returns how many requests this node may have in flight at a target. */
    private int allowedCount(Target target, State state, double declinesPerSecond, long nowMillis) {
        int slots = Math.max(1, target.slots());
        int count = nodeCount();
        double safeCount = slots + Math.floor(SAFETY_RATIO * declinesPerSecond);
        if (safeCount < count) {
            return hasTurn(target, safeCount, nowMillis) ? 1 : 0;
        }
        boolean cautious = state != null && state.cautiousEndMillis > nowMillis;
        return cautious ? Math.max(1, slots / count) : (int) (safeCount / count);
    }

    /** Returns whether this node is one of those that may use a target which there are too many nodes for. */
    private boolean hasTurn(Target target, double safeCount, long nowMillis) {
        int count = nodeCount();
        return position.map(own -> Math.floorMod(own + target.id().hashCode(), count) < safeCount)
                .orElseGet(() -> turn(target, nowMillis) < SAFETY_RATIO * safeCount / count);
    }

    /** Returns a number from zero to one, by which nodes have their turns at a target independently of each other. */
    private double turn(Target target, long nowMillis) {
        long mixed = (nodeId + '/' + target.id()).hashCode() * 0x9E3779B97F4A7C15L
                + Math.floorDiv(nowMillis, TURN_MILLIS) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53;
    }

    private static long millisToNextTurn(long nowMillis) {
        return TURN_MILLIS - Math.floorMod(nowMillis, TURN_MILLIS);
    }

    private int nodeCount() {
        return nodeCount.count() == 0 ? UNKNOWN_NODE_COUNT : nodeCount.count();
    }

    /** Forgets an incarnation of a target. */
    void forget(Target target) {
        byTarget.remove(target.id());
    }

    private State state(Target target) {
        return byTarget.computeIfAbsent(target.id(), id -> new State());
    }
}
