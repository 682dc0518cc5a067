package org.poplarwharf.internal.standin;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The requests that run together on an engine stand-in, and those that wait for a place.
 *
 * <p>Invariant: at most {@code maxRunning} run; of those waiting the highest priority runs first, then the oldest.
 * Belongs to one reactor thread.
 */
final class EngineBatch {
    private static final int HISTORY_LIMIT = 10_000;

    private final int maxRunning;
    private final Journal<EngineEvent> journal;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Set<Run> running = new LinkedHashSet<>();
    private final PriorityQueue<Run> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Run run) -> -run.job.priority()).thenComparingLong(run -> run.sequence));
    private final Deque<Load> history = new ArrayDeque<>();
    private long nextSequence;

    EngineBatch(int maxRunning, Journal<EngineEvent> journal) {
        this.maxRunning = maxRunning;
        this.journal = journal;
    }

    /** Waits for a place. */
    Promise<Run> enter(EngineJob job) {
        Run run = new Run(job, nextSequence++);
        waiting.add(run);
        admit();
        return run.admitted;
    }

    boolean uses(ArtifactId artifact) {
        return running.stream()
                .anyMatch(run -> run.job.artifact().equals(artifact)
                        || run.job.artifact().base().equals(artifact));
    }

    /** Returns the load as it was some time ago. */
    Load load(long agoMillis) {
        long atMillis = clock.nowMillis() - agoMillis;
        Load latest = new Load(0, 0, 0);
        for (Load load : history) {
            if (load.atMillis > atMillis) {
                break;
            }
            latest = load;
        }
        return latest;
    }

    /** Ends every run as crashed. */
    void crash() {
        List.copyOf(running).forEach(run -> run.end(EngineEvent.End.CRASHED));
        waiting.clear();
    }

    private void admit() {
        while (running.size() < maxRunning && !waiting.isEmpty()) {
            Run run = waiting.poll();
            running.add(run);
            EngineJob job = run.job;
            journal.add(new EngineEvent.RequestStarted(
                    job.requestId(),
                    job.artifact(),
                    Hashes.sha256(job.body()),
                    job.priority(),
                    job.resumeAfterTokens()));
            run.admitted.set(run);
        }
        history.addLast(new Load(clock.nowMillis(), running.size(), waiting.size()));
        if (history.size() > HISTORY_LIMIT) {
            history.removeFirst();
        }
    }

    /** Running and queued requests at a time. */
    record Load(long atMillis, int running, int queued) {}

    /** The run of one request. */
    final class Run {
        private final EngineJob job;
        private final long sequence;
        private final SettablePromise<Run> admitted = new SettablePromise<>();
        private int tokens;

        private Run(EngineJob job, long sequence) {
            this.job = job;
            this.sequence = sequence;
        }

        void countToken() {
            tokens++;
        }

        /** Gives the place back; only the first call has an effect. */
        void end(EngineEvent.End end) {
            if (running.remove(this)) {
                journal.add(new EngineEvent.RequestEnded(job.requestId(), end, tokens));
                admit();
            }
        }
    }
}
