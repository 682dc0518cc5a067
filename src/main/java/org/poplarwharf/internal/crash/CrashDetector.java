package org.poplarwharf.internal.crash;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.poplarwharf.internal.fleet.Target;

/**
 * Determines which requests, with the parts of their prompts, were in flight at a target when it crashed. A lost run alone
 * is no crash: connections also break on the way. The target has crashed if its address refuses connections, or if its
 * entry is replaced by that of a new incarnation or removed.
 *
 * <p>Invariants: a target that has announced that it leaves is never reported; each lost run is reported once at most.
 * Bounded by the runs that are lost within the retention time. Confined to one thread.
 */
public final class CrashDetector {
    /** The requests sent last are the likeliest causes, because a request crashes its target when it begins to run. */
    private static final int MAX_REPORTED_RUN_COUNT = 64;

    private static final int MAX_DEPARTED_COUNT = 1_000;

    private final String nodeId;
    private final CrashHistory history;
    private final Function<String, Optional<Target>> targets;
    private final ConnectionProbe probe;
    private final LongSupplier clock;
    private final long retentionMillis;
    private final Consumer<List<TargetCrash>> listener;
    private final Consumer<RequestSuspects> successListener;
    private final Map<Incarnation, Deque<LostRun>> lostRuns = new LinkedHashMap<>();
    private final Set<Incarnation> probed = new HashSet<>();
    private final Set<Incarnation> departed = new LinkedHashSet<>();

    /** Tries to connect to targets. */
    public interface ConnectionProbe {
        /** Connects and disconnects again; passes whether the connection was refused. */
        void connect(InetSocketAddress address, Consumer<Boolean> refused);
    }

    private record Incarnation(String targetId, long startedAtMillis) {
        static Incarnation of(Target target) {
            return new Incarnation(target.id(), target.startedAtMillis());
        }
    }

    private record LostRun(RequestSuspects suspects, long sentMillis, long lostMillis) {}

    /**
     * Creates a detector.
     *
     * @param targets finds the latest state of a target by its id
     * @param retentionMillis how long after a lost run the target's entry may still show the crash
     * @param listener receives the crash of each request and prompt part that was in flight
     * @param successListener receives the requests that were answered in full
     */
    public CrashDetector(
            String nodeId,
            CrashHistory history,
            Function<String, Optional<Target>> targets,
            ConnectionProbe probe,
            LongSupplier clock,
            long retentionMillis,
            Consumer<List<TargetCrash>> listener,
            Consumer<RequestSuspects> successListener) {
        this.nodeId = nodeId;
        this.history = history;
        this.targets = targets;
        this.probe = probe;
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.listener = listener;
        this.successListener = successListener;
    }

    /** Records a run whose connection the target's end closed before its response was complete. */
    public void recordClosedRun(Target target, RequestSuspects suspects, long sentMillis) {
        if (recordLostRun(target, suspects, sentMillis) && probed.add(Incarnation.of(target))) {
            probe.connect(target.address(), refused -> handleProbe(target, refused));
        }
    }

    /** Records a run that this node has ended while it waited for its response. */
    public void recordAbandonedRun(Target target, RequestSuspects suspects, long sentMillis) {
        recordLostRun(target, suspects, sentMillis);
    }

    /** Records a whole response. */
    public void recordResponse(RequestSuspects suspects, boolean successful) {
        if (successful) {
            successListener.accept(suspects);
        }
    }

    /** Handles the removal of a target's entry, or its replacement by that of a new incarnation. */
    public void targetRemoved(Target target) {
        Incarnation incarnation = Incarnation.of(target);
        if (!target.leaving()) {
            report(incarnation);
            return;
        }
        lostRuns.remove(incarnation);
        departed.add(incarnation);
        if (departed.size() > MAX_DEPARTED_COUNT) {
            departed.remove(departed.iterator().next());
        }
    }

    /** Returns whether it is still open if the target has crashed. */
    private boolean recordLostRun(Target target, RequestSuspects suspects, long sentMillis) {
        if (target.isNode()) {
            return false;
        }
        removeExpired();
        Incarnation incarnation = Incarnation.of(target);
        Optional<Target> latest = targets.apply(target.id());
        if (departed.contains(incarnation) || latest.filter(Target::leaving).isPresent()) {
            return false;
        }
        lostRuns.computeIfAbsent(incarnation, key -> new ArrayDeque<>())
                .addFirst(new LostRun(suspects, sentMillis, clock.getAsLong()));
        if (latest.filter(target::isSameIncarnation).isEmpty()) {
            report(incarnation);
            return false;
        }
        return true;
    }

    private void handleProbe(Target target, boolean refused) {
        Incarnation incarnation = Incarnation.of(target);
        probed.remove(incarnation);
        boolean isLeaving = targets.apply(target.id()).filter(Target::leaving).isPresent();
        if (refused && !isLeaving) {
            report(incarnation);
        }
    }

    private void report(Incarnation incarnation) {
        removeExpired();
        Deque<LostRun> runs = lostRuns.remove(incarnation);
        if (runs != null) {
            listener.accept(runs.stream()
                    .limit(MAX_REPORTED_RUN_COUNT)
                    .flatMap(run -> crashesOf(run, incarnation))
                    .distinct()
                    .toList());
        }
    }

    private Stream<TargetCrash> crashesOf(LostRun run, Incarnation incarnation) {
        String fingerprint = run.suspects().wholeRequest().fingerprint();
        TargetCrash ofRequest = history.crashOf(
                fingerprint, incarnation.targetId(), incarnation.startedAtMillis(), nodeId, run.sentMillis());
        Stream<TargetCrash> ofParts = run.suspects().promptParts().stream()
                .map(part -> TargetCrash.ofPromptPart(part, incarnation.targetId(), incarnation.startedAtMillis()));
        return Stream.concat(Stream.of(ofRequest), ofParts);
    }

    private void removeExpired() {
        long expiryMillis = clock.getAsLong() - retentionMillis;
        lostRuns.values().removeIf(runs -> {
            while (!runs.isEmpty() && runs.peekLast().lostMillis() < expiryMillis) {
                runs.removeLast();
            }
            return runs.isEmpty();
        });
    }
}
