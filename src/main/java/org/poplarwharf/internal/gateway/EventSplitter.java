package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream into complete events and tracks their ids, so that the stream can be resumed after
 * the last one.
 *
 * <p>Invariant: returns only complete events, whose ids strictly increase. Confined to the event loop. The owner must
 * call {@link #release()}.
 */
final class EventSplitter {
    /** Far above the size of any event; bounds what is buffered of one that doesn't end. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte NEWLINE = '\n';
    private static final String ID_FIELD_PREFIX = "id:";
    private static final String COMMENT_PREFIX = ":";

    private final ByteBuf buffered = Unpooled.buffer();
    private OptionalLong lastEventId;
    private int scannedBytes;
    private int eventCount;

    EventSplitter(OptionalLong lastEventId) {
        this.lastEventId = lastEventId;
    }

    /**
     * Adds bytes and returns the events that are now complete, or an empty optional if event ids do not increase or an
     * event is too long.
     */
    java.util.Optional<ByteBuf> add(ByteBuf bytes) {
        buffered.writeBytes(bytes);
        int end = -1;
        int start = buffered.readerIndex();
        for (int newline = findNewline(scannedBytes + start); newline >= 0; newline = findNewline(newline + 1)) {
            if (isBlankLineEnd(newline)) {
                if (!acceptEventId(end < 0 ? start : end, newline)) {
                    return java.util.Optional.empty();
                }
                end = newline + 1;
            }
        }
        if (end < 0) {
            scannedBytes = Math.max(0, buffered.readableBytes() - 2);
            return buffered.readableBytes() > MAX_EVENT_BYTES
                    ? java.util.Optional.empty()
                    : java.util.Optional.of(Unpooled.EMPTY_BUFFER);
        }
        ByteBuf wholeEvents = buffered.readBytes(end - start);
        buffered.discardReadBytes();
        scannedBytes = Math.max(0, buffered.readableBytes() - 2);
        return java.util.Optional.of(wholeEvents);
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

    /** Discards an incomplete event after its target failed. The next bytes come from another target. */
    void discardPartialEvent() {
        buffered.clear();
        scannedBytes = 0;
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

    private boolean acceptEventId(int from, int to) {
        String event = buffered.toString(from, to - from, StandardCharsets.UTF_8);
        if (hasFields(event)) {
            eventCount++;
        }
        for (String line : event.split("\n")) {
            if (!line.startsWith(ID_FIELD_PREFIX)) {
                continue;
            }
            OptionalLong id =
                    DecimalParser.parse(line.substring(ID_FIELD_PREFIX.length()).strip());
            if (id.isEmpty()) {
                return true;
            }
            if (lastEventId.isPresent() && id.getAsLong() <= lastEventId.getAsLong()) {
                return false;
            }
            lastEventId = id;
            return true;
        }
        return true;
    }
}
