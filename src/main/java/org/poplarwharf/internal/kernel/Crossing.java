package org.poplarwharf.internal.kernel;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Runs work of one event loop on another and brings the result back.
 *
 * <p>Stateless and thread-safe; {@link #call} is called from the thread of {@code from}.
 */
public final class Crossing {
    private Crossing() {}

    /** Runs the work on another loop and completes on this one. */
    public static <T> Promise<T> call(Eventloop from, Eventloop to, Supplier<Promise<T>> work) {
        SettablePromise<T> result = new SettablePromise<>();
        from.startExternalTask();
        to.execute(() -> guarded(work)
                .subscribe((value, e) -> from.execute(() -> {
                    from.completeExternalTask();
                    result.set(value, e);
                })));
        return result;
    }

    private static <T> Promise<T> guarded(Supplier<Promise<T>> work) {
        try {
            return work.get();
        } catch (PoplarWharfException e) {
            return Promise.ofException(e);
        } catch (RuntimeException e) {
            return Promise.ofException(Reporter.internal("work on another thread", e));
        }
    }
}
