package org.poplarwharf.support;

import io.activej.async.callback.AsyncComputation;
import io.activej.common.function.SupplierEx;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * An event loop on a thread of its own, for tests. Thread-safe.
 */
public final class ReactorThread implements AutoCloseable {
    private static final long LIMIT_SECONDS = 20;

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

    /** Runs something in the reactor's thread and returns its result. */
    public <T> T call(SupplierEx<T> work) {
        if (Thread.currentThread() == thread) {
            return inThread(work);
        }
        return await(() -> Promise.of(work.get()));
    }

    private static <T> T inThread(SupplierEx<T> work) {
        try {
            return work.get();
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs something in the reactor's thread. */
    public void run(Runnable work) {
        call(() -> {
            work.run();
            return true;
        });
    }

    /** Starts something in the reactor's thread and waits for its promise; rethrows its failure. */
    public <T> T await(SupplierEx<Promise<T>> work) {
        AsyncComputation<T> computation = callback -> {
            try {
                work.get().subscribe(callback);
            } catch (Exception e) {
                callback.accept(null, e);
            }
        };
        try {
            return reactor.submit(computation).get(LIMIT_SECONDS, TimeUnit.SECONDS);
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
