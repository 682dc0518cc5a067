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
 * The requests that run concurrently on an engine stand-in, and the queue of requests that wait to run.
 *
 * <p>Invariant: at most {@code maxRunning} requests run. Queued requests start in order of priority, highest first, then in
 * order of arrival. Confined to one reactor thread.
 */
final class EngineBatch {
    private static final int MAX_LOAD_SAMPLES = 10_000;

    private final int maxRunning;
    private final Journal<EngineEvent> journal;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Set<BatchRun> running = new LinkedHashSet<>();
    private final PriorityQueue<BatchRun> queued =
            new PriorityQueue<>(Comparator.comparingInt((BatchRun run) -> -run.completion.priority())
                    .thenComparingLong(run -> run.sequence));
    private final Deque<LoadSample> loadHistory = new ArrayDeque<>();
    private long nextSequence;

    EngineBatch(int maxRunning, Journal<EngineEvent> journal) {
        this.maxRunning = maxRunning;
        this.journal = journal;
    }

    /** Queues a request; the promise completes when it starts to run. */
    Promise<BatchRun> submit(EngineCompletion completion) {
        BatchRun run = new BatchRun(completion, nextSequence++);
        queued.add(run);
        startQueued();
        return run.started;
    }

    /** Returns whether a running request uses the artifact, directly or as the base model of its adapter. */
    boolean isInUse(ArtifactId artifact) {
        return running.stream()
                .anyMatch(run -> run.completion.artifact().equals(artifact)
                        || run.completion.artifact().base().equals(artifact));
    }

    /** Returns the load as it was {@code agoMillis} ago; zero load for times before the recorded history. */
    LoadSample loadBefore(long agoMillis) {
        long atMillis = clock.nowMillis() - agoMillis;
        LoadSample latest = new LoadSample(0, 0, 0);
        for (LoadSample sample : loadHistory) {
            if (sample.atMillis > atMillis) {
                break;
            }
            latest = sample;
        }
        return latest;
    }

    /** Ends every running request as crashed and drops the queue. */
    void crash() {
        List.copyOf(running).forEach(run -> run.end(EngineEvent.End.CRASHED));
        queued.clear();
    }

    private void startQueued() {
        while (running.size() < maxRunning && !queued.isEmpty()) {
            BatchRun run = queued.poll();
            running.add(run);
            EngineCompletion completion = run.completion;
            journal.add(new EngineEvent.RequestStarted(
                    completion.requestId(),
                    completion.artifact(),
                    Hashes.sha256(completion.body()),
                    completion.priority(),
                    completion.resumeAfterTokens()));
            run.started.set(run);
        }
        loadHistory.addLast(new LoadSample(clock.nowMillis(), running.size(), queued.size()));
        if (loadHistory.size() > MAX_LOAD_SAMPLES) {
            loadHistory.removeFirst();
        }
    }

    /** The number of running and queued requests at one time. Immutable and thread-safe. */
    record LoadSample(long atMillis, int running, int queued) {}

    /** One request in the batch, queued or running. */
    final class BatchRun {
        private final EngineCompletion completion;
        private final long sequence;
        private final SettablePromise<BatchRun> started = new SettablePromise<>();
        private int producedTokens;

        private BatchRun(EngineCompletion completion, long sequence) {
            this.completion = completion;
            this.sequence = sequence;
        }

        void countToken() {
            producedTokens++;
        }

        /** Ends a running request and starts queued ones; later calls have no effect. */
        void end(EngineEvent.End end) {
            if (running.remove(this)) {
                journal.add(new EngineEvent.RequestEnded(completion.requestId(), end, producedTokens));
                startQueued();
            }
        }
    }
}
