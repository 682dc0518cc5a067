package org.poplarwharf.internal.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.topic.KeyedLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Claims, renews and resigns a lease by conditional appends to the platform's log: a record is appended only if the log
 * still ends where this node expects.
 *
 * <p>Invariants: at most one node at a time may issue orders, according to its own clocks. A new holder may make
 * decisions immediately. It issues no order until the previous holder can no longer issue one, because its process is
 * known to have ended or its term is over, and the order gap has passed as well. The new holder's record states this
 * waiting time, so that later holders respect it. A holder counts its term from before it sent the record; other nodes
 * count from when they first read it. A holder holds the lease only while the term has expired on neither its monotonic
 * clock nor its wall clock, since the monotonic clock of a suspended VM stands still. Confined to one event loop.
 */
public final class HolderLease {
    private static final String RECORD_KEY = "holder";
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final String topic;
    private final LeaseRecord self;
    private final LeaseTimings timings;
    private final KeyedLog log;
    private final TopicFollower.Timer timer;
    private final Clocks clocks;
    private final Listener listener;
    private Optional<LeaseRecord> currentRecord = Optional.empty();
    private long currentOffset = -1;
    private long recordReadMillis;
    private long endOffset;
    private long holderEndedMillis = Long.MIN_VALUE;
    private boolean holding;
    private boolean expired;
    private long fencingNumber;
    private long ordersAllowedFromMillis;
    private TermStart termStart = TermStart.EXPIRED;
    private Optional<Claim> pendingClaim = Optional.empty();
    private boolean stopped;

    /** The time at which this node sent the claim or the renewal that began the current term. */
    private record TermStart(long steadyMillis, long wallMillis) {
        private static final TermStart EXPIRED = new TermStart(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
    }

    /** A claim that was sent and may be appended to the log now or later. */
    private record Claim(long fencingNumber, TermStart termStart) {}

    /** The monotonic clock and the wall clock. */
    public interface Clocks {
        long steadyMillis();

        long wallMillis();
    }

    /** Receives changes of the lease. */
    public interface Listener {
        /** Called when this node has acquired the lease. */
        void claimed(long fencingNumber);

        /** Called when the term has ended without a renewal and no other node is known to hold the lease. */
        void expired();

        /** Called when this node no longer holds the lease. */
        void lost(String reason);

        /** Called when the log shows that another node holds the lease. */
        void holderFound(LeaseRecord holder);

        /** Returns whether the holder responds to this node, so that the log need not be read. */
        boolean isHolderResponding();
    }

    public HolderLease(
            String topic,
            LeaseRecord self,
            LeaseTimings timings,
            KeyedLog log,
            TopicFollower.Timer timer,
            Clocks clocks,
            Listener listener) {
        this.topic = topic;
        this.self = self;
        this.timings = timings;
        this.log = log;
        this.timer = timer;
        this.clocks = clocks;
        this.listener = listener;
    }

    /** Starts to poll the lease and to claim it when it is free. */
    public void start() {
        poll();
    }

    /** Returns whether this node holds the lease at this moment. */
    public boolean isHeld() {
        return holding
                && clocks.steadyMillis() - termStart.steadyMillis() < timings.termMillis()
                && clocks.wallMillis() - termStart.wallMillis() < timings.termMillis();
    }

    /** Returns whether this node may issue orders at this moment. */
    public boolean mayOrder() {
        return isHeld() && clocks.steadyMillis() >= ordersAllowedFromMillis;
    }

    public long fencingNumber() {
        return fencingNumber;
    }

    /** Records that the holder issues no more orders: its process has ended, or another process runs at its address. */
    public void holderEnded(String incarnation) {
        if (holderEndedMillis == Long.MIN_VALUE
                && currentRecord
                        .filter(record -> record.incarnation().equals(incarnation))
                        .isPresent()) {
            holderEndedMillis = clocks.steadyMillis();
        }
    }

    /** Resigns the lease, so that another node need not wait for the end of its term. */
    public void resign() {
        stopped = true;
        if (expired) {
            listener.lost("stopped");
        }
        if (!holding) {
            return;
        }
        holding = false;
        listener.lost("resigned");
        append(record(fencingNumber, true), response -> {});
    }

    private void poll() {
        if (stopped) {
            return;
        }
        if (holding) {
            renewOrExpire();
            return;
        }
        if (!expired && listener.isHolderResponding()) {
            schedulePoll(timings.retryMillis());
            return;
        }
        log.readLatest(topic, Optional.empty(), response -> {
            switch (response) {
                case KeyedLog.Page page -> {
                    update(page);
                    claimIfFree();
                }
                case KeyedLog.Unavailable unavailable -> schedulePoll(timings.retryMillis());
            }
        });
    }

    private void update(KeyedLog.Page page) {
        endOffset = page.endOffset();
        for (KeyedLog.KeyedRecord record : page.records()) {
            if (!record.key().equals(RECORD_KEY) || record.offset() <= currentOffset) {
                continue;
            }
            currentOffset = record.offset();
            recordReadMillis = clocks.steadyMillis();
            decode(record.value()).ifPresent(latest -> {
                boolean changed = currentRecord
                        .filter(previous -> previous.incarnation().equals(latest.incarnation())
                                && previous.fencingNumber() == latest.fencingNumber())
                        .isEmpty();
                currentRecord = Optional.of(latest);
                if (changed) {
                    holderEndedMillis = Long.MIN_VALUE;
                }
            });
        }
    }

    private void claimIfFree() {
        if (currentRecord.isEmpty()) {
            claim();
            return;
        }
        LeaseRecord holder = currentRecord.get();
        if (expired && !holder.incarnation().equals(self.incarnation())) {
            expired = false;
            listener.lost("claimed by another node");
        }
        if (holder.incarnation().equals(self.incarnation()) && !holder.resigned()) {
            // Either a claim of this node whose response was lost, or a record whose term is over.
            Optional<Claim> appendedClaim =
                    pendingClaim.filter(claim -> claim.fencingNumber() == holder.fencingNumber());
            appendedClaim.ifPresentOrElse(this::acquire, this::claim);
            return;
        }
        if (holder.resigned()) {
            holderEnded(holder.incarnation());
        } else {
            listener.holderFound(holder);
        }
        long nowMillis = clocks.steadyMillis();
        boolean holderEnded = holderEndedMillis != Long.MIN_VALUE;
        boolean termOver = nowMillis - recordReadMillis > timings.termMillis();
        if (!holderEnded && !termOver) {
            schedulePoll(timings.retryMillis());
            return;
        }
        long latestOrderMillis = holderEnded ? holderEndedMillis : recordReadMillis + timings.termMillis();
        ordersAllowedFromMillis =
                Math.max(latestOrderMillis + timings.orderGapMillis(), recordReadMillis + holder.quietMillis());
        claim();
    }

    private void claim() {
        long newFencingNumber = endOffset + 1;
        // If a claim is retried at the same end of the log, either append may succeed: the term counts from the first.
        Claim claim = pendingClaim
                .filter(sent -> sent.fencingNumber() == newFencingNumber)
                .orElseGet(() -> new Claim(newFencingNumber, currentTime()));
        pendingClaim = Optional.of(claim);
        append(record(newFencingNumber, false), response -> {
            switch (response) {
                case KeyedLog.Appended appended -> {
                    currentRecord = Optional.of(record(newFencingNumber, false));
                    currentOffset = appended.offset();
                    endOffset = appended.offset() + 1;
                    acquire(claim);
                }
                case KeyedLog.EndMoved moved -> schedulePoll(0);
                case KeyedLog.OutcomeUnknown unknown -> schedulePoll(timings.retryMillis());
                case KeyedLog.Unavailable unavailable -> {
                    // The log has not appended the claim and will not append it later.
                    pendingClaim = Optional.empty();
                    schedulePoll(timings.retryMillis());
                }
            }
        });
    }

    private void acquire(Claim claim) {
        if (stopped) {
            return;
        }
        fencingNumber = claim.fencingNumber();
        termStart = claim.termStart();
        pendingClaim = Optional.empty();
        holding = true;
        if (!isHeld()) {
            holding = false;
            claim();
            return;
        }
        expired = false;
        listener.claimed(claim.fencingNumber());
        schedulePoll(timings.renewIntervalMillis());
    }

    private TermStart currentTime() {
        return new TermStart(clocks.steadyMillis(), clocks.wallMillis());
    }

    private void renewOrExpire() {
        if (!isHeld()) {
            holding = false;
            expired = true;
            listener.expired();
            schedulePoll(0);
            return;
        }
        TermStart renewalStart = currentTime();
        append(record(fencingNumber, false), response -> {
            if (!holding) {
                schedulePoll(timings.retryMillis());
                return;
            }
            switch (response) {
                case KeyedLog.Appended appended -> {
                    currentOffset = appended.offset();
                    endOffset = appended.offset() + 1;
                    termStart = renewalStart;
                    schedulePoll(timings.renewIntervalMillis());
                }
                case KeyedLog.EndMoved moved -> checkOwnRecord();
                case KeyedLog.OutcomeUnknown unknown -> schedulePoll(timings.retryMillis());
                case KeyedLog.Unavailable unavailable -> schedulePoll(timings.retryMillis());
            }
        });
    }

    /**
     * Checks whether this node still holds the lease after the end of the log has moved: either by a renewal of this
     * node whose response was lost, or by a claim of another node.
     */
    private void checkOwnRecord() {
        log.readLatest(topic, Optional.empty(), response -> {
            if (response instanceof KeyedLog.Page page && holding) {
                update(page);
                boolean stillHolder = currentRecord
                        .filter(record -> record.incarnation().equals(self.incarnation())
                                && record.fencingNumber() == fencingNumber)
                        .isPresent();
                if (!stillHolder) {
                    holding = false;
                    listener.lost("claimed by another node");
                }
            }
            schedulePoll(timings.retryMillis());
        });
    }

    private LeaseRecord record(long recordFencingNumber, boolean resigned) {
        long quietMillis = Math.max(0, ordersAllowedFromMillis - clocks.steadyMillis());
        return new LeaseRecord(
                self.holder(), self.incarnation(), self.address(), recordFencingNumber, quietMillis, resigned);
    }

    private void append(LeaseRecord record, Consumer<KeyedLog.AppendResult> callback) {
        try {
            log.appendAt(topic, endOffset, RECORD_KEY, JSON.writeValueAsBytes(record), callback);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("a lease record", e);
        }
    }

    private static Optional<LeaseRecord> decode(byte[] value) {
        try {
            return Optional.of(JSON.readValue(value, LeaseRecord.class));
        } catch (IOException e) {
            // Written by an incompatible release. Its term is still respected, counted from when the record was read.
            return Optional.empty();
        }
    }

    private void schedulePoll(long delayMillis) {
        timer.schedule(delayMillis, this::poll);
    }
}
