package org.poplarwharf.internal.kernel;

import com.codahale.metrics.Counter;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Runs the event loops of a node: one for control state and one or more for traffic.
 *
 * <p>Invariant: an exception that no callback handles is logged with code {@code internal} and counted, and the event
 * loop keeps running. The event loops use a monotonic clock. Thread-safe.
 */
final class NodeThreads {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Eventloop controlLoop;
    private final List<Eventloop> trafficLoops = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Counter unexpectedExceptions;
    private final NodeLog log;

    NodeThreads(int trafficThreads, NodeLog log, Counter unexpectedExceptions) {
        this.log = log;
        this.unexpectedExceptions = unexpectedExceptions;
        controlLoop = createEventloop("control");
        for (int i = 0; i < trafficThreads; i++) {
            trafficLoops.add(createEventloop("traffic-" + i));
        }
    }

    Eventloop controlLoop() {
        return controlLoop;
    }

    List<Eventloop> trafficLoops() {
        return trafficLoops;
    }

    void start() {
        start(controlLoop, "control");
        for (int i = 0; i < trafficLoops.size(); i++) {
            start(trafficLoops.get(i), "traffic-" + i);
        }
    }

    /** Runs an action on the control thread, waits for its promise and returns the result. */
    <T> T callOnControlThread(String description, Supplier<Promise<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        controlLoop.execute(() -> invoke(description, action).subscribe((value, failure) -> {
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return await(description, result);
    }

    /** Stops the event loops. Tasks that are still queued are not run. */
    void stop() {
        for (Eventloop loop : allLoops()) {
            loop.execute(loop::breakEventloop);
        }
    }

    /** Runs an action and returns its promise. An exception that the action throws becomes a failed promise. */
    static <T> Promise<T> invoke(String description, Supplier<Promise<T>> action) {
        try {
            return action.get();
        } catch (PoplarWharfException failure) {
            return Promise.ofException(failure);
        } catch (RuntimeException e) {
            return Promise.ofException(Reporter.internal(description, e));
        }
    }

    private static <T> T await(String description, CompletableFuture<T> result) {
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.internal(description, e.getCause());
        } catch (InterruptedException | CancellationException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted(description, e);
        }
    }

    private List<Eventloop> allLoops() {
        List<Eventloop> loops = new ArrayList<>(trafficLoops);
        loops.add(controlLoop);
        return loops;
    }

    private Eventloop createEventloop(String name) {
        Eventloop loop = Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(monotonicTimeProvider())
                .withFatalErrorHandler((error, context) -> onCallbackException(name, error, context))
                .build();
        loop.keepAlive(true);
        return loop;
    }

    private void start(Eventloop loop, String name) {
        Runnable boundLoop = () -> {
            log.setThreadContext();
            loop.run();
        };
        Thread thread = new Thread(boundLoop, name);
        thread.setUncaughtExceptionHandler((failedThread, error) -> reportUnexpected(name, error));
        threads.add(thread);
        thread.start();
    }

    /**
     * Handles every exception that a callback throws. A {@link PoplarWharfException} from the callback of a promise
     * fails that promise and is handled there, so it is skipped here. Any other exception would be lost.
     */
    private void onCallbackException(String thread, Throwable error, Object context) {
        boolean isHandledByPromise = error instanceof PoplarWharfException && !(context instanceof Runnable);
        if (!isHandledByPromise) {
            reportUnexpected(thread, error);
        }
    }

    private void reportUnexpected(String thread, Throwable error) {
        unexpectedExceptions.inc();
        log.logFailure(NodeLogEvent.UNEXPECTED_EXCEPTION, FailureCode.INTERNAL, thread, error);
    }

    private static CurrentTimeProvider monotonicTimeProvider() {
        long originMillis = System.currentTimeMillis();
        long originNanos = System.nanoTime();
        return () -> originMillis + (System.nanoTime() - originNanos) / NANOS_PER_MILLI;
    }
}
