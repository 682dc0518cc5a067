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
 * An operator's view of the configuration stream, for one run of a command.
 *
 * <p>Runs an event loop on a thread of its own. The public methods are called from one other thread and wait.
 */
public final class ConfigSession implements AutoCloseable {
    private static final long POLL_MILLIS = 5;
    private static final double APPENDS_PER_SECOND = 10;
    private static final long INCARNATION = 1;

    private final Eventloop loop;
    private final MonotonicClock clock = MonotonicClock.system();
    private final long timeoutMillis;
    private final ConfigFold fold = new ConfigFold();
    private final List<Decided> history = new ArrayList<>();
    private FoldingStream<ConfigRecord> stream;

    /** A change that the log still holds, with its verdict. */
    public record Decided(ChangeProposed change, ApplyResult applied) {}

    /** Opens a session and reads the stream to its end; fails with {@code log-unavailable} when that takes too long. */
    public static ConfigSession open(EventLog.Factory factory, String logAddress, long timeoutMillis) {
        ConfigSession session = new ConfigSession(timeoutMillis);
        try {
            session.call(() -> session.start(factory, logAddress));
            return session;
        } catch (PoplarWharfException failure) {
            session.close();
            throw failure;
        }
    }

    private ConfigSession(long timeoutMillis) {
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
        stream.addListener(this::decided);
        stream.start();
        return caughtUp(clock.nowMillis() + timeoutMillis);
    }

    private Promise<Void> caughtUp(long deadlineMillis) {
        if (stream.isCaughtUp()) {
            return Promise.complete();
        }
        if (clock.nowMillis() >= deadlineMillis) {
            return Promise.ofException(Reporter.logUnavailable(ConfigRecord.STREAM, timeoutMillis, null));
        }
        return Promises.delay(loop, POLL_MILLIS).then(() -> caughtUp(deadlineMillis));
    }

    private void decided(ConfigRecord record, ApplyResult applied) {
        if (record instanceof ChangeProposed change) {
            history.add(new Decided(change, applied));
        }
    }

    /** Returns the configuration in force. */
    public FleetConfig config() {
        return call(() -> Promise.of(fold.config()));
    }

    /** Returns the changes that the log still holds, in its order. */
    public List<Decided> history() {
        return call(() -> Promise.of(List.copyOf(history)));
    }

    /** Returns what must change so that the accepted files become these, given by name. */
    public List<FileChange> changesTo(TreeMap<String, String> contents) {
        return call(() -> Promise.of(difference(contents)));
    }

    private List<FileChange> difference(TreeMap<String, String> contents) {
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

    /** Appends a change, reads on through it and returns the verdict. */
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
