package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits an event stream into whole events and reads their ids, so that a stream can go on behind the last one.
 *
 * <p>Invariant: only whole events are given out; ids rise. Confined to the event loop; to be released.
 */
final class EventSplitter {
    private static final byte NEWLINE = '\n';
    private static final String ID_FIELD = "id:";

    private final ByteBuf buffered = Unpooled.buffer();
    private OptionalLong lastId;
    private int scanned;
    private int events;

    EventSplitter(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /** Adds bytes and returns the whole events among all that has come; empty where ids don't rise. */
    java.util.Optional<ByteBuf> add(ByteBuf bytes) {
        buffered.writeBytes(bytes);
        int end = -1;
        int lineStart = buffered.readerIndex();
        for (int newline = next(scanned + lineStart); newline >= 0; newline = next(newline + 1)) {
            if (blankLineEndsAt(newline)) {
                if (!readId(end < 0 ? lineStart : end, newline)) {
                    return java.util.Optional.empty();
                }
                end = newline + 1;
                events++;
            }
        }
        if (end < 0) {
            scanned = Math.max(0, buffered.readableBytes() - 2);
            return java.util.Optional.of(Unpooled.EMPTY_BUFFER);
        }
        ByteBuf whole = buffered.readBytes(end - lineStart);
        buffered.discardReadBytes();
        scanned = Math.max(0, buffered.readableBytes() - 2);
        return java.util.Optional.of(whole);
    }

    /** Returns what is left behind the last whole event. */
    ByteBuf rest() {
        return buffered.readBytes(buffered.readableBytes());
    }

    /** Drops a part of an event, since its target broke off; the next bytes are another target's. */
    void dropPart() {
        buffered.clear();
        scanned = 0;
    }

    OptionalLong lastId() {
        return lastId;
    }

    int events() {
        return events;
    }

    void release() {
        buffered.release();
    }

    private int next(int from) {
        return from >= buffered.writerIndex() ? -1 : buffered.indexOf(from, buffered.writerIndex(), NEWLINE);
    }

    private boolean blankLineEndsAt(int newline) {
        int before = newline - 1;
        if (before >= buffered.readerIndex() && buffered.getByte(before) == '\r') {
            before--;
        }
        return before >= buffered.readerIndex() && buffered.getByte(before) == NEWLINE;
    }

    private boolean readId(int from, int to) {
        String event = buffered.toString(from, to - from, StandardCharsets.UTF_8);
        for (String line : event.split("\n")) {
            if (!line.startsWith(ID_FIELD)) {
                continue;
            }
            OptionalLong id = Digits.parse(line.substring(ID_FIELD.length()).strip());
            if (id.isEmpty()) {
                return true;
            }
            if (lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
                return false;
            }
            lastId = id;
            return true;
        }
        return true;
    }
}
