package org.poplarwharf.internal.kernel;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.function.Supplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Bounds the time of an asynchronous step. Stateless; called from a reactor thread.
 */
final class Deadlines {
    private Deadlines() {}

    /** Returns the step's promise; it fails with {@code deadline-exceeded-running} when the time is over first. */
    static <T> Promise<T> within(long timeoutMillis, String what, Supplier<Promise<T>> step) {
        return Promises.timeout(Duration.ofMillis(timeoutMillis), NodeThreads.promise(what, step))
                .mapException(AsyncTimeoutException.class, e -> late(timeoutMillis, what, e));
    }

    private static Exception late(long timeoutMillis, String what, Exception cause) {
        return Reporter.failure(
                FailureCode.DEADLINE_EXCEEDED_RUNNING,
                "Role '" + what + "' was not done after " + timeoutMillis + " ms.",
                "Work under way took longer than the drain time.",
                "Give a longer --drain where requests are long.",
                cause);
    }
}
