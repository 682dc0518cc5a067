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
 * The event loops of a node: one for control state and some for traffic.
 *
 * <p>Invariant: an exception that no callback handles is logged with code {@code internal} and counted, and the loop
 * goes on. The loops' time is monotonic. Thread-safe.
 */
final class NodeThreads {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Eventloop control;
    private final List<Eventloop> traffic = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Counter unexpected;
    private final NodeLog log;

    NodeThreads(int trafficThreads, NodeLog log, Counter unexpected) {
        this.log = log;
        this.unexpected = unexpected;
        control = eventloop("control");
        for (int i = 0; i < trafficThreads; i++) {
            traffic.add(eventloop("traffic-" + i));
        }
    }

    Eventloop control() {
        return control;
    }

    List<Eventloop> traffic() {
        return traffic;
    }

    void start() {
        start(control, "control");
        for (int i = 0; i < traffic.size(); i++) {
            start(traffic.get(i), "traffic-" + i);
        }
    }

    /** Runs an action on the control thread and waits until its promise completes. */
    <T> T callControl(String what, Supplier<Promise<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        control.execute(() -> promise(what, action).subscribe((value, failure) -> {
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return await(what, result);
    }

    /** Ends the loops. Work that is still queued is not run. */
    void stop() {
        for (Eventloop loop : allLoops()) {
            loop.execute(loop::breakEventloop);
        }
    }

    /** Returns the promise of an action; an exception that the action throws becomes a failed promise. */
    static <T> Promise<T> promise(String what, Supplier<Promise<T>> action) {
        try {
            return action.get();
        } catch (PoplarWharfException failure) {
            return Promise.ofException(failure);
        } catch (RuntimeException e) {
            return Promise.ofException(Reporter.internal(what, e));
        }
    }

    private static <T> T await(String what, CompletableFuture<T> result) {
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.internal(what, e.getCause());
        } catch (InterruptedException | CancellationException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted(what, e);
        }
    }

    private List<Eventloop> allLoops() {
        List<Eventloop> loops = new ArrayList<>(traffic);
        loops.add(control);
        return loops;
    }

    private Eventloop eventloop(String name) {
        Eventloop loop = Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(monotonicTime())
                .withFatalErrorHandler((error, context) -> onError(name, error, context))
                .build();
        loop.keepAlive(true);
        return loop;
    }

    private void start(Eventloop loop, String name) {
        Runnable named = () -> {
            log.bindThread();
            loop.run();
        };
        Thread thread = new Thread(named, name);
        thread.setUncaughtExceptionHandler((dead, error) -> onUnexpected(name, error));
        threads.add(thread);
        thread.start();
    }

    /**
     * Hears of every exception that a callback throws. A typed failure in a promise's callback goes on as that promise's
     * failure and is heard of there; all else would be lost.
     */
    private void onError(String thread, Throwable error, Object context) {
        boolean carriedOn = error instanceof PoplarWharfException && !(context instanceof Runnable);
        if (!carriedOn) {
            onUnexpected(thread, error);
        }
    }

    private void onUnexpected(String thread, Throwable error) {
        unexpected.inc();
        log.failure(LogEvent.UNEXPECTED_EXCEPTION, FailureCode.INTERNAL, thread, error);
    }

    private static CurrentTimeProvider monotonicTime() {
        long originMillis = System.currentTimeMillis();
        long originNanos = System.nanoTime();
        return () -> originMillis + (System.nanoTime() - originNanos) / NANOS_PER_MILLI;
    }
}
