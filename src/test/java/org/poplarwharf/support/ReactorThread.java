package org.poplarwharf.support;

import io.activej.async.callback.AsyncComputation;
import io.activej.common.function.SupplierEx;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs an event loop on a dedicated thread, for tests. Thread-safe.
 */
public final class ReactorThread implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 20;

    private final Eventloop reactor = Eventloop.create();
    private final Thread thread = new Thread(reactor, "test-reactor");

    public ReactorThread() {
        reactor.keepAlive(true);
        thread.setDaemon(true);
        thread.start();
    }

    public Eventloop reactor() {
        return reactor;
    }

    /** Runs a task on the reactor's thread and returns its result. */
    public <T> T call(SupplierEx<T> task) {
        if (Thread.currentThread() == thread) {
            return callDirectly(task);
        }
        return await(() -> Promise.of(task.get()));
    }

    private static <T> T callDirectly(SupplierEx<T> task) {
        try {
            return task.get();
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs a task on the reactor's thread and waits for it to finish. */
    public void run(Runnable task) {
        call(() -> {
            task.run();
            return true;
        });
    }

    /** Starts a task on the reactor's thread and waits for its promise; rethrows the failure of the promise. */
    public <T> T await(SupplierEx<Promise<T>> task) {
        AsyncComputation<T> computation = callback -> {
            try {
                task.get().subscribe(callback);
            } catch (Exception e) {
                callback.accept(null, e);
            }
        };
        try {
            return reactor.submit(computation).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        reactor.keepAlive(false);
        reactor.execute(reactor::breakEventloop);
    }
}
