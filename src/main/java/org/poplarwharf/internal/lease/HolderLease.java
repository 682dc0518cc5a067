package org.poplarwharf.internal.lease;

import java.util.Optional;
import java.util.function.Consumer;
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
 * clock nor its wall clock, since the monotonic clock of a suspended VM stands still.
 *
 * <p>A restore of the log from an older copy may lose the records of the holder, so that other nodes see an earlier one or
 * none. The holder keeps the lease and appends a new record. In an era in which no record has been appended yet, a new
 * holder waits as if an unknown node had renewed its lease at the restore.
 * A holder's fencing number changes only if another node may have held the lease in between, so a delayed order carries
 * no lower number than a later one. A node that hands its lease over may claim it anew. Confined to one event loop.
 */
public final class HolderLease {
    /** A log that has been restored is in a later era. */
    private static final long FIRST_ERA = 1;

    /** Fencing numbers of an era are below those of the next one. */
    private static final int FENCING_NUMBER_ERA_SHIFT = 32;

    private final LeaseRecord self;
    private final LeaseTimings timings;
    private final TopicFollower.Timer timer;
    private final LeaseClocks clocks;
    private final HolderLeaseListener listener;
    private final ClaimDeferral deferral;
    private final LeaseTopic leaseTopic;
    private Optional<LeaseRecord> currentRecord = Optional.empty();
    private long currentOffset = -1;
    private long recordReadMillis;
    private KeyedLog.Position end = new KeyedLog.Position(0, 0);
    private boolean hasReadLog;
    private long eraSeenMillis;
    private long holderEndedMillis = Long.MIN_VALUE;
    private boolean holding;
    private boolean expired;
    private long recordNumber;
    private long fencingNumber;
    private long ordersAllowedFromMillis;
    private LeaseTerm term = LeaseTerm.EXPIRED;
    private Optional<Claim> pendingClaim = Optional.empty();
    private boolean stopped;

    /** A claim that was sent and may be appended to the log now or later. The number of its record is unique. */
    private record Claim(long recordNumber, long fencingNumber, LeaseTerm term) {}

    public HolderLease(
            String topic,
            LeaseRecord self,
            LeaseTimings timings,
            KeyedLog log,
            TopicFollower.Timer timer,
            LeaseClocks clocks,
            HolderLeaseListener listener) {
        this.self = self;
        this.timings = timings;
        this.timer = timer;
        this.clocks = clocks;
        this.listener = listener;
        this.leaseTopic = new LeaseTopic(log, topic, timings, clocks, listener);
        this.deferral = new ClaimDeferral(listener::reachesTargets, clocks::steadyMillis);
    }

    /** Starts to poll the lease and to claim it when it is free. This node must listen at its address already. */
    public void start() {
        poll();
    }

    /** Returns whether this node holds the lease at this moment. */
    public boolean isHeld() {
        return holding && term.isValid(clocks, timings.termMillis());
    }

    /** Returns whether this node holds the lease and the holder before it can decide nothing any more. */
    public boolean isSoleHolder() {
        return isHeld() && clocks.steadyMillis() >= ordersAllowedFromMillis - timings.orderGapMillis();
    }

    /** Returns whether this node may issue orders at this moment. */
    public boolean mayOrder() {
        return isHeld() && clocks.steadyMillis() >= ordersAllowedFromMillis;
    }

    /** Returns the number that orders carry; the orders of later holders carry higher ones. */
    public long fencingNumber() {
        return fencingNumber;
    }

    /** Records that the holder issues no more orders, because its process is known to have ended. */
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
        giveUp("resigned");
    }

    /** Hands the lease to another node. This node may claim it again later, see {@link ClaimDeferral}. */
    public void handOver() {
        giveUp("handed over");
    }

    private void giveUp(String reason) {
        if (holding) {
            holding = false;
            listener.lost(reason);
            append(record(recordNumber, true), response -> {});
        }
    }

    /** Appends again that this node has given up the lease, since the log does not show it. */
    private void giveUpAgain(LeaseRecord ownRecord) {
        if (expired) {
            expired = false;
            listener.lost("left to other nodes");
        }
        append(record(ownRecord.fencingNumber(), true), response -> schedulePoll(timings.retryMillis()));
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
        leaseTopic.read(content -> {
            if (content.isEmpty()) {
                schedulePoll(timings.retryMillis());
                return;
            }
            update(content.get());
            claimIfFree();
        });
    }

    private void update(LeaseTopic.Content content) {
        if (!hasReadLog || content.end().era() != end.era()) {
            startEra();
        }
        end = content.end();
        content.record().filter(latest -> latest.offset() > currentOffset).ifPresent(this::learn);
    }

    private void learn(LeaseTopic.StoredRecord stored) {
        currentOffset = stored.offset();
        recordReadMillis = clocks.steadyMillis();
        stored.content().ifPresent(latest -> {
            boolean changed = currentRecord
                    .filter(previous -> previous.incarnation().equals(latest.incarnation())
                            && previous.fencingNumber() == latest.fencingNumber())
                    .isEmpty();
            currentRecord = Optional.of(latest);
            if (changed) {
                deferral.leaseTaken();
                holderEndedMillis = Long.MIN_VALUE;
            }
        });
    }

    /** Forgets what is known of the topic, because a restored log may hold an earlier record at any offset. */
    private void startEra() {
        hasReadLog = true;
        eraSeenMillis = clocks.steadyMillis();
        currentOffset = -1;
        currentRecord = Optional.empty();
        holderEndedMillis = Long.MIN_VALUE;
        pendingClaim = Optional.empty();
    }

    /** Returns whether the record of the latest holder may be lost, because none has been appended in this era. */
    private boolean mayHaveLostHolder() {
        return currentRecord.map(record -> record.era() < end.era()).orElse(end.era() > FIRST_ERA);
    }

    /** Returns whether no other node can have held the lease since this node did. */
    private boolean isLatestHolder() {
        boolean ownRecordIsLatest = currentRecord
                .filter(record -> record.incarnation().equals(self.incarnation()))
                .filter(record -> record.fencingNumber() == recordNumber)
                .isPresent();
        return ownRecordIsLatest && !mayHaveLostHolder();
    }

    private void claimIfFree() {
        if (mayHaveLostHolder() && clocks.steadyMillis() - eraSeenMillis <= timings.termMillis()) {
            schedulePoll(timings.retryMillis());
            return;
        }
        if (currentRecord.isEmpty()) {
            claimWithoutHolder();
            return;
        }
        LeaseRecord holder = currentRecord.get();
        if (expired && !holder.incarnation().equals(self.incarnation())) {
            expired = false;
            listener.lost("claimed by another node");
        }
        if (holder.incarnation().equals(self.incarnation()) && !holder.resigned()) {
            if (deferral.defers()) {
                giveUpAgain(holder);
                return;
            }
            // Either a claim of this node whose response was lost, or a record whose term is over.
            Optional<Claim> appendedClaim =
                    pendingClaim.filter(claim -> claim.recordNumber() == holder.fencingNumber());
            appendedClaim.ifPresentOrElse(this::acquire, this::claim);
            return;
        }
        if (holder.resigned() || isOwnPredecessor(holder)) {
            holderEnded(holder.incarnation());
        } else {
            listener.holderFound(holder);
        }
        long nowMillis = clocks.steadyMillis();
        boolean holderEnded = holderEndedMillis != Long.MIN_VALUE;
        boolean termOver = nowMillis - recordReadMillis > timings.termMillis();
        if (!holderEnded && !termOver) {
            deferral.leaseTaken();
            schedulePoll(timings.retryMillis());
            return;
        }
        long latestOrderMillis = holderEnded ? holderEndedMillis : recordReadMillis + timings.termMillis();
        ordersAllowedFromMillis =
                Math.max(latestOrderMillis + timings.orderGapMillis(), recordReadMillis + holder.quietMillis());
        claimOrDefer();
    }

    /** Claims a lease without a record, or one whose author is unknown, after the term of that author. */
    private void claimWithoutHolder() {
        long termEndMillis = currentOffset < 0 ? Long.MIN_VALUE / 2 : recordReadMillis + timings.termMillis();
        if (clocks.steadyMillis() <= termEndMillis) {
            schedulePoll(timings.retryMillis());
            return;
        }
        ordersAllowedFromMillis = Math.max(ordersAllowedFromMillis, termEndMillis + timings.orderGapMillis());
        claimOrDefer();
    }

    private void claimOrDefer() {
        if (deferral.defers()) {
            schedulePoll(timings.retryMillis());
        } else {
            claim();
        }
    }

    /** Returns whether a holder was a process of this node before its restart: this one listens at its address now. */
    private boolean isOwnPredecessor(LeaseRecord holder) {
        return holder.holder().equals(self.holder()) && holder.address().equals(self.address());
    }

    private void claim() {
        if (mayHaveLostHolder()) {
            ordersAllowedFromMillis =
                    Math.max(ordersAllowedFromMillis, eraSeenMillis + timings.termMillis() + timings.orderGapMillis());
        }
        long newNumber = nextRecordNumber();
        // If a claim is retried at the same end of the log, either append may succeed: the term counts from the first.
        Optional<Claim> sentBefore = pendingClaim.filter(sent -> sent.recordNumber() == newNumber);
        Claim claim = sentBefore.orElseGet(() ->
                new Claim(newNumber, isLatestHolder() ? fencingNumber : newNumber, LeaseTerm.startingNow(clocks)));
        pendingClaim = Optional.of(claim);
        append(record(newNumber, false), response -> {
            switch (response) {
                case KeyedLog.Appended appended -> {
                    currentRecord = Optional.of(record(newNumber, false));
                    recordAppended(appended);
                    acquire(claim);
                }
                case KeyedLog.EndMoved moved -> schedulePoll(0);
                case KeyedLog.Restored restored -> schedulePoll(0);
                case KeyedLog.OutcomeUnknown unknown -> schedulePoll(timings.retryMillis());
                case KeyedLog.Unavailable unavailable -> {
                    // The log will not append what was sent now, but may append later what was sent before.
                    pendingClaim = sentBefore;
                    schedulePoll(timings.retryMillis());
                }
            }
        });
    }

    private void acquire(Claim claim) {
        if (stopped) {
            return;
        }
        recordNumber = claim.recordNumber();
        fencingNumber = claim.fencingNumber();
        term = claim.term();
        pendingClaim = Optional.empty();
        holding = true;
        if (!isHeld()) {
            holding = false;
            claim();
            return;
        }
        expired = false;
        deferral.leaseTaken();
        listener.claimed(fencingNumber);
        schedulePoll(timings.renewIntervalMillis());
    }

    private void renewOrExpire() {
        if (!isHeld()) {
            holding = false;
            expired = true;
            listener.expired();
            schedulePoll(0);
            return;
        }
        LeaseTerm renewedTerm = LeaseTerm.startingNow(clocks);
        append(record(recordNumber, false), response -> {
            if (!holding) {
                schedulePoll(timings.retryMillis());
                return;
            }
            switch (response) {
                case KeyedLog.Appended appended -> {
                    recordAppended(appended);
                    currentRecord = Optional.of(record(recordNumber, false));
                    term = renewedTerm;
                    schedulePoll(timings.renewIntervalMillis());
                }
                case KeyedLog.EndMoved moved -> checkOwnRecord();
                case KeyedLog.Restored restored -> checkOwnRecord();
                case KeyedLog.OutcomeUnknown unknown -> schedulePoll(timings.retryMillis());
                case KeyedLog.Unavailable unavailable -> schedulePoll(timings.retryMillis());
            }
        });
    }

    private void recordAppended(KeyedLog.Appended appended) {
        currentOffset = appended.offset();
        end = new KeyedLog.Position(end.era(), appended.offset() + 1);
    }

    private long nextRecordNumber() {
        return (end.era() << FENCING_NUMBER_ERA_SHIFT) + end.offset() + 1;
    }

    /**
     * Checks whether this node still holds the lease after the end of the log has moved: by a renewal of this node whose
     * response was lost, by a claim of another node, or by a restore that lost this node's records.
     */
    private void checkOwnRecord() {
        leaseTopic.read(content -> {
            if (content.isPresent() && holding) {
                update(content.get());
                Optional<LeaseRecord> ownRecord = currentRecord.filter(
                        record -> record.incarnation().equals(self.incarnation()) && record.era() == end.era());
                if (ownRecord.isEmpty() && !mayHaveLostHolder()) {
                    holding = false;
                    listener.lost("claimed by another node");
                }
            }
            schedulePoll(timings.retryMillis());
        });
    }

    private LeaseRecord record(long recordFencingNumber, boolean resigned) {
        long quietMillis = Math.max(0, ordersAllowedFromMillis - clocks.steadyMillis());
        return self.renewed(end.era(), recordFencingNumber, quietMillis, resigned);
    }

    private void append(LeaseRecord record, Consumer<KeyedLog.AppendResult> callback) {
        leaseTopic.append(end, record, callback);
    }

    private void schedulePoll(long delayMillis) {
        timer.schedule(delayMillis, this::poll);
    }
}
