package org.poplarwharf.internal.kernel;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.function.Supplier;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Limits the duration of asynchronous role steps. Stateless; called from a reactor thread.
 */
final class Timeouts {
    private Timeouts() {}

    /** Runs a step; the promise fails with {@code deadline-exceeded-running} if the step exceeds the timeout. */
    static <T> Promise<T> withTimeout(long timeoutMillis, String roleName, Supplier<Promise<T>> step) {
        return Promises.timeout(Duration.ofMillis(timeoutMillis), NodeThreads.invoke(roleName, step))
                .mapException(AsyncTimeoutException.class, e -> timeoutFailure(timeoutMillis, roleName, e));
    }

    private static Exception timeoutFailure(long timeoutMillis, String roleName, Exception cause) {
        return Reporter.failure(
                FailureCode.DEADLINE_EXCEEDED_RUNNING,
                "Role '" + roleName + "' did not finish within " + timeoutMillis + " ms.",
                "Work in flight took longer than the drain timeout.",
                "Set a longer --drain if requests are long-running.",
                cause);
    }
}
