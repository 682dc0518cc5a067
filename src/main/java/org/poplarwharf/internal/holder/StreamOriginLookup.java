package org.poplarwharf.internal.holder;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.UnusableEntryLog;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * Finds the software versions that began streams for a node that has no holder to ask, in what earlier holders have recorded
 * on the platform's log.
 *
 * <p>Invariants: at most one read is under way, and none begins within a fixed time of the one before, whatever ids callers
 * send. A version that the log doesn't show stays unknown. Confined to the event loop.
 */
final class StreamOriginLookup {
    private static final long RETRY_INTERVAL_MILLIS = 500;

    /** Only holders append, so another read shows more only to a node that is cut off from the holder. */
    private static final long REPEAT_INTERVAL_MILLIS = 5_000;

    private final StreamOrigins origins;
    private final KeyedLog platformLog;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final UnusableEntryLog unusableRecords;
    private final BooleanSupplier holding;
    private long nextReadMillis = Long.MIN_VALUE;
    private boolean reading;
    private long readCount;

    StreamOriginLookup(
            StreamOrigins origins, KeyedLog platformLog, LongSupplier clock, DecisionLog log, BooleanSupplier holding) {
        this.origins = origins;
        this.platformLog = platformLog;
        this.clock = clock;
        this.log = log;
        this.unusableRecords = new UnusableEntryLog(log, StreamTopic.RECORD_NAME, "key", clock);
        this.holding = holding;
    }

    /**
     * Returns the request with the version of the stream that it continues. If that isn't known, returns the request as it
     * is and reads the log, so that a later call may know the version.
     */
    DispatchRequest resolve(DispatchRequest request) {
        if (!request.hasUnknownStreamOrigin()) {
            return request;
        }
        Optional<String> version = versionOf(request);
        if (version.isEmpty()) {
            read();
        }
        return version.map(request::withSoftwareVersion).orElse(request);
    }

    /** Returns the number of the read that is under way, if it may show the version that the request needs. */
    Optional<Long> readFor(DispatchRequest request) {
        if (!reading || !request.hasUnknownStreamOrigin()) {
            return Optional.empty();
        }
        boolean isKnown = versionOf(request).isPresent();
        return isKnown ? Optional.empty() : Optional.of(readCount);
    }

    private Optional<String> versionOf(DispatchRequest request) {
        String streamId = request.continuation().orElseThrow().streamId();
        return origins.softwareVersionOf(streamId, request.service());
    }

    private void read() {
        long nowMillis = clock.getAsLong();
        if (reading || nowMillis < nextReadMillis) {
            return;
        }
        nextReadMillis = nowMillis + RETRY_INTERVAL_MILLIS;
        reading = true;
        readCount++;
        StreamTopic.read(platformLog, unusableRecords, content -> {
            reading = false;
            // A holder reads the topic itself, and would record again what it learns here.
            if (content.isPresent() && !holding.getAsBoolean()) {
                nextReadMillis = clock.getAsLong() + REPEAT_INTERVAL_MILLIS;
                learn(content.get());
            }
        });
    }

    private void learn(StreamTopic.Content content) {
        List<StreamOrigin> recorded = content.origins();
        long newCount = recorded.stream().filter(origins::record).count();
        log.log("stream-origins-read", "records", content.originRecords().size(), "new", newCount);
    }
}
