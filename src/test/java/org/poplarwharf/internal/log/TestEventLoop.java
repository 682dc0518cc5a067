package org.poplarwharf.internal.log;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** An event loop on its own thread, for tests of objects that are confined to a reactor thread. */
public final class TestEventLoop implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long POLL_INTERVAL_MILLIS = 2;

    private final Eventloop eventloop;
    private final Thread thread;

    public TestEventLoop() {
        eventloop = Eventloop.builder()
                .withTimeProvider(() -> System.nanoTime() / 1_000_000)
                .build();
        eventloop.keepAlive(true);
        thread = new Thread(eventloop, "test-loop");
        thread.setDaemon(true);
        thread.start();
    }

    public Eventloop eventloop() {
        return eventloop;
    }

    /** Runs an action on the event loop and waits for its promise. */
    public <T> T call(Supplier<Promise<T>> action) {
        CompletableFuture<T> future = eventloop.submit(cb -> action.get().subscribe(cb));
        try {
            return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause : new IllegalStateException(e.getCause());
        } catch (InterruptedException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs an action on the event loop and returns its value. */
    public <T> T get(Supplier<T> action) {
        return call(() -> Promise.of(action.get()));
    }

    public void run(Runnable action) {
        get(() -> {
            action.run();
            return true;
        });
    }

    /** Waits until a condition, evaluated on the event loop, is true; fails after {@link #TIMEOUT_SECONDS}. */
    public void awaitUntil(BooleanSupplier condition) {
        call(() -> pollCondition(condition));
    }

    private Promise<Void> pollCondition(BooleanSupplier condition) {
        return condition.getAsBoolean()
                ? Promise.complete()
                : Promises.delay(eventloop, POLL_INTERVAL_MILLIS).then(() -> pollCondition(condition));
    }

    @Override
    public void close() {
        eventloop.execute(eventloop::breakEventloop);
        try {
            thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
