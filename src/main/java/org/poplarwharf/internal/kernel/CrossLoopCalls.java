package org.poplarwharf.internal.kernel;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Runs work on another event loop and delivers the result on the calling event loop.
 *
 * <p>Stateless and thread-safe; {@link #call} is called from the thread of {@code from}.
 */
public final class CrossLoopCalls {
    private CrossLoopCalls() {}

    /** Runs the work on {@code to}. The returned promise completes on {@code from}. */
    public static <T> Promise<T> call(Eventloop from, Eventloop to, Supplier<Promise<T>> work) {
        SettablePromise<T> result = new SettablePromise<>();
        from.startExternalTask();
        to.execute(() -> invoke(work)
                .subscribe((value, e) -> from.execute(() -> {
                    from.completeExternalTask();
                    result.set(value, e);
                })));
        return result;
    }

    private static <T> Promise<T> invoke(Supplier<Promise<T>> work) {
        try {
            return work.get();
        } catch (PoplarWharfException e) {
            return Promise.ofException(e);
        } catch (RuntimeException e) {
            return Promise.ofException(Reporter.internal("Work on another event loop", e));
        }
    }
}
