package org.poplarwharf.internal.holder;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.kernel.DecisionLog;
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
    /** Holders append no more often. */
    private static final long MIN_INTERVAL_MILLIS = 500;

    private final StreamOrigins origins;
    private final KeyedLog platformLog;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final BooleanSupplier holding;
    private Optional<Long> startedMillis = Optional.empty();
    private boolean reading;

    StreamOriginLookup(
            StreamOrigins origins, KeyedLog platformLog, LongSupplier clock, DecisionLog log, BooleanSupplier holding) {
        this.origins = origins;
        this.platformLog = platformLog;
        this.clock = clock;
        this.log = log;
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
        String streamId = request.continuation().orElseThrow().streamId();
        Optional<String> version = origins.softwareVersionOf(streamId, request.service());
        if (version.isEmpty()) {
            read();
        }
        return version.map(request::withSoftwareVersion).orElse(request);
    }

    /** Returns whether a read that is under way may show the version that the request needs. */
    boolean isResolving(DispatchRequest request) {
        return reading && request.hasUnknownStreamOrigin();
    }

    private void read() {
        long nowMillis = clock.getAsLong();
        boolean isTooSoon = startedMillis
                .filter(started -> nowMillis - started < MIN_INTERVAL_MILLIS)
                .isPresent();
        if (reading || isTooSoon) {
            return;
        }
        startedMillis = Optional.of(nowMillis);
        reading = true;
        StreamTopic.read(platformLog, content -> {
            reading = false;
            // A holder reads the topic itself, and would record again what it learns here.
            if (!holding.getAsBoolean()) {
                content.ifPresent(this::learn);
            }
        });
    }

    private void learn(StreamTopic.Content content) {
        List<StreamOrigin> recorded = content.origins();
        long newCount = recorded.stream().filter(origins::record).count();
        log.log("stream-origins-read", "records", content.originRecords().size(), "new", newCount);
    }
}
