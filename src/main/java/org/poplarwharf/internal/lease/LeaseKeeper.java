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
 * Claims, renews and gives up one lease, by records on the platform's log that are appended only at its known end.
 *
 * <p>Invariants: at most one node may order, by its own clocks. Who claims may decide at once, but gives no order before
 * the holder before can give none, by evidence or by time, plus the gap that orders of two holders need; its record says
 * how long that is, for those who come after. A holder counts its term from before it sent the record; others count from
 * when they first read it. Both the steady clock and the time of day must agree, since a suspended machine's steady clock
 * stands still. Confined to one event loop.
 */
public final class LeaseKeeper {
    private static final String KEY = "holder";
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final String topic;
    private final LeaseRecord self;
    private final LeaseTimes times;
    private final KeyedLog log;
    private final TopicFollower.Timer timer;
    private final Clocks clocks;
    private final Listener listener;
    private Optional<LeaseRecord> current = Optional.empty();
    private long currentOffset = -1;
    private long seenMillis;
    private long endOffset;
    private long lastGoneMillis = Long.MIN_VALUE;
    private boolean holding;
    private boolean expired;
    private long fencingNumber;
    private long ordersFromMillis;
    private Term term = Term.OVER;
    private Optional<Claim> claimSent = Optional.empty();
    private boolean stopped;

    /** When the record was sent that began, or last renewed, what this node holds. */
    private record Term(long steadyMillis, long wallMillis) {
        private static final Term OVER = new Term(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
    }

    /** A claim that was sent and may stand on the log, now or later. */
    private record Claim(long number, Term term) {}

    /** The steady clock and the time of day. */
    public interface Clocks {
        long steadyMillis();

        long wallMillis();
    }

    /** What the holder of a lease and the others want to know. */
    public interface Listener {
        /** This node holds the lease now. */
        void claimed(long fencingNumber);

        /** The term is over and could not be renewed; nobody else is known to hold the lease. */
        void expired();

        /** This node no longer holds the lease. */
        void lost(String why);

        /** Another node holds the lease, as the log says. */
        void follows(LeaseRecord holder);

        /** Tells whether the holder answers this node, so that the log need not be asked. */
        boolean holderAnswers();
    }

    public LeaseKeeper(
            String topic,
            LeaseRecord self,
            LeaseTimes times,
            KeyedLog log,
            TopicFollower.Timer timer,
            Clocks clocks,
            Listener listener) {
        this.topic = topic;
        this.self = self;
        this.times = times;
        this.log = log;
        this.timer = timer;
        this.clocks = clocks;
        this.listener = listener;
    }

    /** Starts to follow the lease and to claim it when it is free. */
    public void start() {
        look();
    }

    /** Tells whether this node holds the lease at this moment. */
    public boolean holds() {
        return holding
                && clocks.steadyMillis() - term.steadyMillis() < times.termMillis()
                && clocks.wallMillis() - term.wallMillis() < times.termMillis();
    }

    /** Tells whether this node may give orders at this moment. */
    public boolean mayOrder() {
        return holds() && clocks.steadyMillis() >= ordersFromMillis;
    }

    public long fencingNumber() {
        return fencingNumber;
    }

    /** The holder is known to give no more orders: its process has ended, or another one runs in its place. */
    public void holderGone(String incarnation) {
        if (lastGoneMillis == Long.MIN_VALUE
                && current.filter(record -> record.incarnation().equals(incarnation))
                        .isPresent()) {
            lastGoneMillis = clocks.steadyMillis();
        }
    }

    /** Gives the lease up, so that another node need not wait for its term to end. */
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
        append(record(fencingNumber, true), answer -> {});
    }

    private void look() {
        if (stopped) {
            return;
        }
        if (holding) {
            renewOrLose();
            return;
        }
        if (!expired && listener.holderAnswers()) {
            again(times.retryMillis());
            return;
        }
        log.newest(topic, Optional.empty(), answer -> {
            switch (answer) {
                case KeyedLog.Page page -> {
                    read(page);
                    decide();
                }
                case KeyedLog.Unavailable unavailable -> again(times.retryMillis());
            }
        });
    }

    private void read(KeyedLog.Page page) {
        endOffset = page.endOffset();
        for (KeyedLog.KeyedRecord record : page.records()) {
            if (!record.key().equals(KEY) || record.offset() <= currentOffset) {
                continue;
            }
            currentOffset = record.offset();
            seenMillis = clocks.steadyMillis();
            decode(record.value()).ifPresent(latest -> {
                boolean changed = current.filter(before -> before.incarnation().equals(latest.incarnation())
                                && before.fencingNumber() == latest.fencingNumber())
                        .isEmpty();
                current = Optional.of(latest);
                if (changed) {
                    lastGoneMillis = Long.MIN_VALUE;
                }
            });
        }
    }

    private void decide() {
        if (current.isEmpty()) {
            claim();
            return;
        }
        LeaseRecord holder = current.get();
        if (expired && !holder.incarnation().equals(self.incarnation())) {
            expired = false;
            listener.lost("claimed by another node");
        }
        if (holder.incarnation().equals(self.incarnation()) && !holder.resigned()) {
            // Either a claim whose answer was lost, or a record whose term is over.
            Optional<Claim> landed = claimSent.filter(claim -> claim.number() == holder.fencingNumber());
            landed.ifPresentOrElse(this::take, this::claim);
            return;
        }
        if (holder.resigned()) {
            holderGone(holder.incarnation());
        } else {
            listener.follows(holder);
        }
        long nowMillis = clocks.steadyMillis();
        boolean gone = lastGoneMillis != Long.MIN_VALUE;
        boolean over = nowMillis - seenMillis > times.termMillis();
        if (!gone && !over) {
            again(times.retryMillis());
            return;
        }
        long lastOrderMillis = gone ? lastGoneMillis : seenMillis + times.termMillis();
        ordersFromMillis = Math.max(lastOrderMillis + times.orderGapMillis(), seenMillis + holder.quietMillis());
        claim();
    }

    private void claim() {
        long number = endOffset + 1;
        // Sent again for the same end, either of the two may land: the term counts from the first.
        Claim claim = claimSent.filter(before -> before.number() == number).orElseGet(() -> new Claim(number, now()));
        claimSent = Optional.of(claim);
        append(record(number, false), answer -> {
            switch (answer) {
                case KeyedLog.Appended appended -> {
                    current = Optional.of(record(number, false));
                    currentOffset = appended.offset();
                    endOffset = appended.offset() + 1;
                    take(claim);
                }
                case KeyedLog.EndMoved moved -> again(0);
                case KeyedLog.OutcomeUnknown unknown -> again(times.retryMillis());
                case KeyedLog.Unavailable unavailable -> {
                    // Not appended, and never will be.
                    claimSent = Optional.empty();
                    again(times.retryMillis());
                }
            }
        });
    }

    private void take(Claim claim) {
        if (stopped) {
            return;
        }
        fencingNumber = claim.number();
        term = claim.term();
        claimSent = Optional.empty();
        holding = true;
        if (!holds()) {
            holding = false;
            claim();
            return;
        }
        expired = false;
        listener.claimed(claim.number());
        again(times.renewMillis());
    }

    private Term now() {
        return new Term(clocks.steadyMillis(), clocks.wallMillis());
    }

    private void renewOrLose() {
        if (!holds()) {
            holding = false;
            expired = true;
            listener.expired();
            again(0);
            return;
        }
        Term renewal = now();
        append(record(fencingNumber, false), answer -> {
            if (!holding) {
                again(times.retryMillis());
                return;
            }
            switch (answer) {
                case KeyedLog.Appended appended -> {
                    currentOffset = appended.offset();
                    endOffset = appended.offset() + 1;
                    term = renewal;
                    again(times.renewMillis());
                }
                case KeyedLog.EndMoved moved -> findOwnRecord();
                case KeyedLog.OutcomeUnknown unknown -> again(times.retryMillis());
                case KeyedLog.Unavailable unavailable -> again(times.retryMillis());
            }
        });
    }

    /** The end moved: by a renewal of this node whose answer was lost, or by another node's claim. */
    private void findOwnRecord() {
        log.newest(topic, Optional.empty(), answer -> {
            if (answer instanceof KeyedLog.Page page && holding) {
                read(page);
                boolean own = current.filter(record -> record.incarnation().equals(self.incarnation())
                                && record.fencingNumber() == fencingNumber)
                        .isPresent();
                if (!own) {
                    holding = false;
                    listener.lost("claimed by another node");
                }
            }
            again(times.retryMillis());
        });
    }

    private LeaseRecord record(long number, boolean resigned) {
        long quietMillis = Math.max(0, ordersFromMillis - clocks.steadyMillis());
        return new LeaseRecord(self.holder(), self.incarnation(), self.address(), number, quietMillis, resigned);
    }

    private void append(LeaseRecord record, Consumer<KeyedLog.AppendAnswer> answer) {
        try {
            log.appendAt(topic, endOffset, KEY, JSON.writeValueAsBytes(record), answer);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("a lease record", e);
        }
    }

    private static Optional<LeaseRecord> decode(byte[] value) {
        try {
            return Optional.of(JSON.readValue(value, LeaseRecord.class));
        } catch (IOException e) {
            return Optional.empty(); // Of another release; the term since it was read still counts.
        }
    }

    private void again(long delayMillis) {
        timer.after(delayMillis, this::look);
    }
}
