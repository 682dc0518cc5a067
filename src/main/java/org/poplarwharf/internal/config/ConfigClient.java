package org.poplarwharf.internal.config;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.ConfigRecord.ChangeProposed;
import org.poplarwharf.internal.config.ConfigRecord.FileChange;
import org.poplarwharf.internal.config.ConfigRecord.FileVersion;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.AppendRateLimiter;
import org.poplarwharf.internal.log.FoldingStream;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.internal.log.StreamContext;
import org.poplarwharf.internal.log.StreamSettings;
import org.poplarwharf.plugins.EventLog;

/**
 * Reads and publishes configuration on behalf of an operator's command.
 *
 * <p>Runs an event loop on its own thread. The public methods block and are called from a single other thread.
 */
public final class ConfigClient implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final double APPENDS_PER_SECOND = 10;
    private static final long INCARNATION = 1;

    private final Eventloop loop;
    private final MonotonicClock clock = MonotonicClock.system();
    private final long timeoutMillis;
    private final ConfigFold fold = new ConfigFold();
    private final List<DecidedChange> history = new ArrayList<>();
    private FoldingStream<ConfigRecord> stream;

    /** A change that the log still retains, and whether it was accepted. */
    public record DecidedChange(ChangeProposed change, ApplyResult applied) {}

    /** Opens a client and reads the stream to its end. Throws a {@code log-unavailable} failure on timeout. */
    public static ConfigClient open(EventLog.Factory factory, String logAddress, long timeoutMillis) {
        ConfigClient client = new ConfigClient(timeoutMillis);
        try {
            client.call(() -> client.start(factory, logAddress));
            return client;
        } catch (PoplarWharfException failure) {
            client.close();
            throw failure;
        }
    }

    private ConfigClient(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        loop = Eventloop.builder().withTimeProvider(clock::nowMillis).build();
        loop.keepAlive(true);
        Thread thread = new Thread(loop, "config-session");
        thread.setDaemon(true);
        thread.start();
    }

    private Promise<Void> start(EventLog.Factory factory, String logAddress) {
        StreamContext parts = new StreamContext(
                ConfigRecord.STREAM,
                "operator-" + UUID.randomUUID(),
                INCARNATION,
                factory.create(loop, logAddress),
                loop,
                clock,
                new AppendRateLimiter(clock, APPENDS_PER_SECOND),
                RandomSource.XO_RO_SHI_RO_128_PP.create(),
                new MetricRegistry(),
                StreamSettings.DEFAULT);
        stream = new FoldingStream<>(parts, ConfigRecord.class, fold);
        stream.addListener(this::onApplied);
        stream.start();
        return awaitCaughtUp(clock.nowMillis() + timeoutMillis);
    }

    private Promise<Void> awaitCaughtUp(long deadlineMillis) {
        if (stream.isCaughtUp()) {
            return Promise.complete();
        }
        if (clock.nowMillis() >= deadlineMillis) {
            return Promise.ofException(Reporter.logUnavailable(ConfigRecord.STREAM, timeoutMillis, null));
        }
        return Promises.delay(loop, POLL_INTERVAL_MILLIS).then(() -> awaitCaughtUp(deadlineMillis));
    }

    private void onApplied(ConfigRecord record, ApplyResult applied) {
        if (record instanceof ChangeProposed change) {
            history.add(new DecidedChange(change, applied));
        }
    }

    /** Returns the current configuration. */
    public FleetConfig config() {
        return call(() -> Promise.of(fold.config()));
    }

    /** Returns the changes that the log still retains, in log order. */
    public List<DecidedChange> history() {
        return call(() -> Promise.of(List.copyOf(history)));
    }

    /** Returns the changes that turn the accepted files into the given ones, keyed by file name. */
    public List<FileChange> diff(TreeMap<String, String> contents) {
        return call(() -> Promise.of(computeDiff(contents)));
    }

    private List<FileChange> computeDiff(TreeMap<String, String> contents) {
        Map<String, String> accepted = new TreeMap<>();
        fold.files().forEach(file -> accepted.put(file.name(), file.content()));
        List<FileChange> changes = new ArrayList<>();
        contents.forEach((name, content) -> {
            if (!content.equals(accepted.get(name))) {
                changes.add(new FileChange(name, fold.versionOf(name), Optional.of(content)));
            }
        });
        for (FileVersion file : fold.files()) {
            if (!contents.containsKey(file.name())) {
                changes.add(new FileChange(file.name(), file.version(), Optional.empty()));
            }
        }
        return changes;
    }

    /** Appends a change, reads the stream until the change is applied, and returns the result. */
    public ApplyResult publish(String operator, List<FileChange> changes) {
        ChangeProposed change = new ChangeProposed(UUID.randomUUID().toString(), operator, changes);
        return call(() -> stream.commit(change, timeoutMillis));
    }

    private <T> T call(Supplier<Promise<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> action.get().subscribe((value, failure) -> {
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        }));
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.internal("the configuration", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("the configuration", e);
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            if (stream != null) {
                stream.stop();
            }
            loop.breakEventloop();
        });
    }
}
