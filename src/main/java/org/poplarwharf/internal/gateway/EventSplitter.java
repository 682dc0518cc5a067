package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream into complete events and tracks their ids, so that the stream can be resumed after
 * the last one.
 *
 * <p>Invariants: returns only complete events, whose ids strictly increase. An event counts, and its id is the last one,
 * only if it was returned. Nothing is returned after an invalid event, until the stream continues from another target. A
 * stream with an event that arrived after a later one cannot continue. Confined to the event loop. The owner must call
 * {@link #release()}.
 */
final class EventSplitter {
    /** Far above the size of any event; bounds what is buffered of one that doesn't end. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte NEWLINE = '\n';
    private static final String ID_FIELD_PREFIX = "id:";
    private static final String COMMENT_PREFIX = ":";

    private final ByteBuf buffered = Unpooled.buffer();
    private OptionalLong lastEventId;

    /** From this id up to the last one, no id is missing, so that an event with one of them is a repeated one. */
    private long firstContiguousId = Long.MIN_VALUE;

    private int scannedBytes;
    private int eventCount;
    private boolean invalid;
    private boolean outOfOrder;

    EventSplitter(OptionalLong lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Adds bytes and returns the events that are now complete, up to the first invalid one. */
    ByteBuf add(ByteBuf bytes) {
        if (invalid) {
            return Unpooled.EMPTY_BUFFER;
        }
        buffered.writeBytes(bytes);
        int start = buffered.readerIndex();
        int end = start;
        for (int newline = findNewline(scannedBytes + start); newline >= 0; newline = findNewline(newline + 1)) {
            if (!isBlankLineEnd(newline)) {
                continue;
            }
            if (!acceptEvent(end, newline)) {
                invalid = true;
                break;
            }
            end = newline + 1;
        }
        ByteBuf wholeEvents = buffered.readBytes(end - start);
        buffered.discardReadBytes();
        scannedBytes = Math.max(0, buffered.readableBytes() - 2);
        invalid |= buffered.readableBytes() > MAX_EVENT_BYTES;
        return wholeEvents;
    }

    /** Returns whether an event's id did not increase, or an event is too long. */
    boolean isInvalid() {
        return invalid;
    }

    /** Returns the number of bytes after the last complete event. */
    int remainderBytes() {
        return buffered.readableBytes();
    }

    /** Returns whether more than blank lines and whole comments follow the last complete event. */
    boolean endsInsideEvent() {
        String remainder = buffered.toString(StandardCharsets.UTF_8);
        return !remainder.isEmpty() && (!remainder.endsWith("\n") || hasFields(remainder));
    }

    private static boolean hasFields(String event) {
        return event.lines().anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT_PREFIX));
    }

    /** Removes and returns the bytes after the last complete event. */
    ByteBuf takeRemainder() {
        return buffered.readBytes(buffered.readableBytes());
    }

    /** Returns whether an event arrived after a later one, which has been returned already. */
    boolean isOutOfOrder() {
        return outOfOrder;
    }

    /** Discards what follows the last valid event after its target failed. The next bytes come from another target. */
    void discardRemainder() {
        buffered.clear();
        scannedBytes = 0;
        invalid = false;
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events so far, without blocks that have only comments. */
    int eventCount() {
        return eventCount;
    }

    void release() {
        buffered.release();
    }

    private int findNewline(int from) {
        return from >= buffered.writerIndex() ? -1 : buffered.indexOf(from, buffered.writerIndex(), NEWLINE);
    }

    private boolean isBlankLineEnd(int newline) {
        int before = newline - 1;
        if (before >= buffered.readerIndex() && buffered.getByte(before) == '\r') {
            before--;
        }
        return before >= buffered.readerIndex() && buffered.getByte(before) == NEWLINE;
    }

    /** Counts an event, or returns false if its id does not increase. */
    private boolean acceptEvent(int from, int to) {
        String event = buffered.toString(from, to - from, StandardCharsets.UTF_8);
        OptionalLong id = eventId(event);
        if (id.isPresent() && lastEventId.isPresent() && id.getAsLong() <= lastEventId.getAsLong()) {
            outOfOrder |= id.getAsLong() < firstContiguousId;
            return false;
        }
        if (id.isPresent()) {
            boolean isNext = lastEventId.isPresent() && id.getAsLong() == lastEventId.getAsLong() + 1;
            if (!isNext) {
                firstContiguousId = id.getAsLong();
            }
            lastEventId = id;
        }
        if (hasFields(event)) {
            eventCount++;
        }
        return true;
    }

    private static OptionalLong eventId(String event) {
        return event.lines()
                .filter(line -> line.startsWith(ID_FIELD_PREFIX))
                .findFirst()
                .map(line -> DecimalParser.parse(
                        line.substring(ID_FIELD_PREFIX.length()).strip()))
                .orElse(OptionalLong.empty());
    }
}
