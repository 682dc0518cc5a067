package org.poplarwharf.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/**
 * Gives a target's answer to a caller: short ones once they are whole, streams event by event.
 *
 * <p>Invariants: the caller gets whole events only, in order, none twice, also where a second target goes on; an answer is
 * ended as complete only once. Confined to the event loop; to be released.
 */
final class AnswerRelay {
    /** Answers up to this size are held until they are whole, so that a broken one can be repeated unseen. */
    private static final int MAX_HELD_BYTES = 1 << 20;

    private final HeaderNames headerNames;
    private final CallerSide caller;
    private final String requestId;
    private final boolean stream;
    private final EventSplitter events;
    private HttpResponse head;
    private AnswerTraits traits;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private boolean begun;

    /** What a piece of an answer was. */
    enum Piece {
        /** Nothing to give on yet, or no stream. */
        PART,
        /** Whole events were given on. */
        EVENTS,
        /** The answer is no target's, or its events are out of order. */
        SPOILED
    }

    AnswerRelay(
            HeaderNames headerNames, CallerSide caller, String requestId, boolean stream, OptionalLong lastEventId) {
        this.headerNames = headerNames;
        this.caller = caller;
        this.requestId = requestId;
        this.stream = stream;
        this.events = new EventSplitter(lastEventId);
    }

    void head(HttpResponse received) {
        head = received;
        traits = headerNames.answer(received.status().code(), received.headers());
    }

    /** Tells whether the answer is to another request. */
    boolean stray() {
        return traits.requestId().isPresent() && !traits.requestId().get().equals(requestId);
    }

    /** Tells whether a success bears no target's digest, or an encoding that nobody asked for. */
    boolean spoiled() {
        return success() && (!traits.authentic() || head.headers().contains(HttpHeaderNames.CONTENT_ENCODING));
    }

    boolean notRun() {
        return traits.notRun();
    }

    int status() {
        return head.status().code();
    }

    private boolean success() {
        return status() / 100 == 2;
    }

    /** Takes a piece of the body; does not keep it. */
    Piece add(ByteBuf piece) {
        if (spoiled()) {
            return Piece.SPOILED;
        }
        if (success() && stream) {
            return addToStream(piece);
        }
        if (begun) {
            caller.piece(piece.retainedSlice());
            return Piece.PART;
        }
        if (held == Unpooled.EMPTY_BUFFER) {
            held = Unpooled.buffer();
        }
        held.writeBytes(piece);
        if (held.readableBytes() > MAX_HELD_BYTES) {
            begin();
            caller.piece(held);
            held = Unpooled.EMPTY_BUFFER;
        }
        return Piece.PART;
    }

    private Piece addToStream(ByteBuf piece) {
        ByteBuf whole = events.add(piece).orElse(null);
        if (whole == null) {
            return Piece.SPOILED;
        }
        if (!whole.isReadable()) {
            return Piece.PART;
        }
        if (!begun) {
            begin();
        }
        caller.piece(whole);
        return Piece.EVENTS;
    }

    private void begin() {
        begun = true;
        caller.begin(status(), Headers.endToEnd(head.headers()));
    }

    /** Tells whether the caller has got a part of its answer. */
    boolean begun() {
        return begun;
    }

    /** Writes out what was given. */
    void flush() {
        if (begun) {
            caller.flush();
        }
    }

    /** Ends the answer as complete. */
    void finish() {
        ByteBuf rest = held;
        held = Unpooled.EMPTY_BUFFER;
        if (success() && stream) {
            rest = events.rest();
        }
        if (begun) {
            caller.piece(rest);
            caller.end();
        } else {
            caller.answer(status(), Headers.endToEnd(head.headers()), rest);
        }
    }

    /** Forgets what has not been given on, since another target, or another answer, comes next. */
    void drop() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        events.dropPart();
    }

    OptionalLong lastEventId() {
        return events.lastId();
    }

    int events() {
        return events.events();
    }

    void release() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        events.release();
    }
}
