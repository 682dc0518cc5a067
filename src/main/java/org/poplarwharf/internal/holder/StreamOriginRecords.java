package org.poplarwharf.internal.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Keeps on the platform's log what a new lease holder needs to continue streams after all nodes have ended at once.
 *
 * <p>While several versions of a service may have begun streams, the holder records the origin of each stream. Where there is
 * one version only, it states that from time to time, together with its position in the topic of the targets' entries; a new
 * holder reads the entries from there on.
 *
 * <p>Invariants: only the holder appends, and nothing before it has read what is on the log. A version is certain only if no
 * entry is missing between the statement and the snapshot that this node follows. Confined to the event loop.
 */
final class StreamOriginRecords implements StreamOrigins.Listener {
    /** Streams that began within this time before all nodes end may be unknown afterwards. */
    private static final long APPEND_INTERVAL_MILLIS = 500;

    private static final long STATEMENT_INTERVAL_MILLIS = 30_000;
    private static final long RETRY_MILLIS = 250;

    /** A log that has never been restored is in this era, or states none. */
    private static final long FIRST_ERA = 1;

    private final StreamOrigins origins;
    private final KeyedLog platformLog;
    private final TargetVersionHistory history;
    private final Fleet fleet;
    private final TopicFollower.Timer timer;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final UnusableEntryLog unusableRecords;
    private final BooleanSupplier holding;
    private final StreamOriginRing ring;
    private final Set<String> recordedServices = new HashSet<>();
    private boolean loading;
    private boolean running;
    private Optional<Long> statedMillis = Optional.empty();

    /**
     * What the node knows of the fleet.
     *
     * @param services the names of all services
     * @param targetPosition the position in the topic of the targets' entries, once all targets are known
     */
    record Fleet(Supplier<Set<String>> services, Supplier<Optional<KeyedLog.Position>> targetPosition) {}

    StreamOriginRecords(
            StreamOrigins origins,
            KeyedLog platformLog,
            TargetVersionHistory history,
            Fleet fleet,
            TopicFollower.Timer timer,
            LongSupplier clock,
            DecisionLog log,
            BooleanSupplier holding) {
        this.origins = origins;
        this.platformLog = platformLog;
        this.history = history;
        this.fleet = fleet;
        this.timer = timer;
        this.clock = clock;
        this.log = log;
        this.unusableRecords = new UnusableEntryLog(log, StreamTopic.RECORD_NAME, "key", clock);
        this.holding = holding;
        this.ring = new StreamOriginRing(StreamTopic.NAME, platformLog, log);
        origins.addListener(this);
    }

    /** Reads what earlier holders have recorded and then begins to record, after this node has acquired the lease. */
    void leaseClaimed() {
        if (!running) {
            running = true;
            readTopic();
        }
    }

    /** Records again what this node knows, after a restore of the log that may have lost it. */
    void recordAgain() {
        recordedServices.clear();
        statedMillis = Optional.empty();
    }

    @Override
    public void recorded(StreamOrigin origin) {
        if (!loading && recordedServices.contains(origin.service())) {
            ring.add(origin);
        }
    }

    @Override
    public void versionsLearned() {
        // The next turn finds the services that need no more records.
    }

    private void readTopic() {
        if (!holding.getAsBoolean()) {
            running = false;
            return;
        }
        StreamTopic.read(platformLog, unusableRecords, content -> {
            if (content.isEmpty()) {
                timer.schedule(RETRY_MILLIS, this::readTopic);
                return;
            }
            learnOrigins(content.get());
            readHistory(content.get().statement(), content.get().era());
            turn();
        });
    }

    private void learnOrigins(StreamTopic.Content content) {
        List<KeyedLog.KeyedRecord> records = content.originRecords();
        if (records.isEmpty()) {
            return;
        }
        ring.continueAfter(records.get(records.size() - 1).key());
        loading = true;
        long newCount = content.origins().stream().filter(origins::record).count();
        loading = false;
        log.log("stream-origins-read", "records", records.size(), "new", newCount);
    }

    /** Reads the versions since the statement, or all versions ever if the log has never lost an entry. */
    private void readHistory(Optional<VersionStatement> statement, long era) {
        if (statement.isEmpty() && era > FIRST_ERA) {
            return;
        }
        if (fleet.targetPosition().get().isEmpty()) {
            timer.schedule(RETRY_MILLIS, () -> readHistory(statement, era));
            return;
        }
        long watchedSinceMillis = origins.watchedSinceMillis();
        long offset = statement.map(VersionStatement::offset).orElse(0L);
        history.read(new KeyedLog.Position(era, offset), read -> {
            log.log("stream-versions-read", "era", era, "offset", offset, "complete", read.isPresent());
            if (read.isPresent() && origins.watchedSinceMillis() == watchedSinceMillis) {
                origins.learnEarlierVersions(service -> earlierVersions(service, statement, read.get()));
            }
        });
    }

    private static Optional<Set<String>> earlierVersions(
            String service, Optional<VersionStatement> statement, Map<String, Set<String>> sinceStatement) {
        Optional<Set<String>> stated = statement.isEmpty()
                ? Optional.of(Set.of())
                : Optional.ofNullable(statement.get().versions().get(service));
        return stated.map(versions -> {
            Set<String> all = new HashSet<>(versions);
            all.addAll(sinceStatement.getOrDefault(service, Set.of()));
            return all;
        });
    }

    private void turn() {
        if (!holding.getAsBoolean()) {
            running = false;
            recordedServices.clear();
            ring.clear();
            return;
        }
        try {
            fleet.services().get().forEach(this::updateService);
            ring.append();
            state();
        } finally {
            timer.schedule(APPEND_INTERVAL_MILLIS, this::turn);
        }
    }

    private void updateService(String service) {
        if (origins.onlyVersionOf(service).isPresent()) {
            recordedServices.remove(service);
        } else if (recordedServices.add(service)) {
            origins.originsOf(service).forEach(ring::add);
        }
    }

    private void state() {
        long nowMillis = clock.getAsLong();
        Optional<KeyedLog.Position> position = fleet.targetPosition().get();
        if (position.isEmpty()
                || statedMillis
                        .filter(stated -> nowMillis - stated < STATEMENT_INTERVAL_MILLIS)
                        .isPresent()) {
            return;
        }
        Map<String, Set<String>> versions = new HashMap<>();
        for (String service : fleet.services().get()) {
            origins.recentVersionsOf(service).ifPresent(recent -> versions.put(service, recent));
        }
        if (versions.isEmpty()) {
            return;
        }
        statedMillis = Optional.of(nowMillis);
        VersionStatement statement =
                new VersionStatement(position.get().era(), position.get().offset(), versions);
        platformLog.append(
                StreamTopic.NAME,
                List.of(new KeyedLog.Entry(StreamTopic.STATEMENT_KEY, statement.encode())),
                this::handleStatementResult);
    }

    private void handleStatementResult(KeyedLog.AppendResult result) {
        if (!(result instanceof KeyedLog.Appended)) {
            statedMillis = Optional.empty();
        }
    }
}
