package org.poplarwharf.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.failure.Reporter;

/**
 * Reads the server-sent events of a completion from a target.
 *
 * <p>Invariants: an event is returned only if it is complete, well-formed and belongs to the request that was sent. The
 * buffer holds at most one incomplete event and the data of one read of the connection. Confined to one traffic thread.
 */
final class SseReader {
    private static final int MAX_EVENT_CHARS = 1 << 20;
    private static final String DATA_FIELD = "data:";
    private static final String DONE_MARKER = "[DONE]";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Attempt attempt;
    private final ChannelSupplier<ByteBuf> body;
    private final StringBuilder buffer = new StringBuilder();

    SseReader(Attempt attempt, ChannelSupplier<ByteBuf> body) {
        this.attempt = attempt;
        this.body = body;
    }

    /** Returns the next event; fails if the stream ends without {@code [DONE]} or is malformed. */
    Promise<Event> next() {
        int end = buffer.indexOf("\n\n");
        if (end >= 0) {
            String text = buffer.substring(0, end + 2);
            buffer.delete(0, end + 2);
            return Promise.of(text).map(this::parseEvent);
        }
        if (buffer.length() > MAX_EVENT_CHARS) {
            return Promise.ofException(malformedStream());
        }
        return attempt.watch(body.get()).async().then(buf -> {
            if (buf == null) {
                return Promise.ofException(malformedStream());
            }
            String text = new String(buf.asArray(), StandardCharsets.ISO_8859_1);
            buffer.append(text.replace("\r", ""));
            return next();
        });
    }

    /** Reads the end of the body after the last event; returns whether the connection can be reused. */
    Promise<Boolean> readToEnd() {
        return attempt.connection().withProgressTimeout(body.get()).map((buf, e) -> {
            if (buf != null) {
                buf.recycle();
            }
            return buf == null && e == null;
        });
    }

    private Event parseEvent(String text) {
        byte[] raw = text.getBytes(StandardCharsets.ISO_8859_1);
        String data = dataOf(new String(raw, StandardCharsets.UTF_8));
        if (data.equals(DONE_MARKER)) {
            return new Event(raw, true, false, OptionalInt.empty());
        }
        if (data.isEmpty()) {
            return new Event(raw, false, false, OptionalInt.empty());
        }
        JsonNode json = parseJson(data);
        JsonNode reason = json.path("choices").path(0).path("finish_reason");
        return new Event(raw, false, reason.isTextual(), tokenIndex(json));
    }

    private JsonNode parseJson(String data) {
        JsonNode json;
        try {
            json = MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            throw malformedStream();
        }
        if (RequestIdGenerator.belongsToAnotherRequest(json.path("id").asText(), attempt.attemptId())) {
            throw malformedStream();
        }
        return json;
    }

    private static OptionalInt tokenIndex(JsonNode json) {
        JsonNode index = json.path("token_index");
        return index.isInt() ? OptionalInt.of(index.asInt()) : OptionalInt.empty();
    }

    private static String dataOf(String text) {
        StringBuilder data = new StringBuilder();
        for (String line : text.split("\n")) {
            if (line.startsWith(DATA_FIELD)) {
                data.append(line.substring(DATA_FIELD.length()).strip());
            }
        }
        return data.toString();
    }

    private RuntimeException malformedStream() {
        return Reporter.failure(
                FailureCode.TARGET_FAILED,
                "The stream from " + attempt.connection().address() + " is incomplete or malformed.",
                "It ended early, or contained an event that is malformed or belongs to another request.",
                "Try again.",
                null);
    }

    /**
     * One server-sent event.
     *
     * @param raw the bytes of the event as received, including the blank line that ends it
     * @param isDone whether it is the {@code [DONE]} marker
     * @param hasFinishReason whether it gives the reason why the completion ended
     * @param tokenIndex the index of the token in it, if the engine sends one
     */
    record Event(byte[] raw, boolean isDone, boolean hasFinishReason, OptionalInt tokenIndex) {}
}
