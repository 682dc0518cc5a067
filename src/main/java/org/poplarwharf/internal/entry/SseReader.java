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
import org.poplarwharf.internal.target.AbortableConnection;

/**
 * Reads whole server-sent events of a completion from a target.
 *
 * <p>Invariants: an event is given on only when it is whole, well formed and belongs to the request that was sent; at
 * most one event and one read of the connection are held. Belongs to one traffic thread.
 */
final class SseReader {
    private static final int MAX_EVENT_CHARS = 1 << 20;
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AbortableConnection connection;
    private final ChannelSupplier<ByteBuf> stream;
    private final String sentId;
    private final StringBuilder buffer = new StringBuilder();

    SseReader(AbortableConnection connection, ChannelSupplier<ByteBuf> stream, String sentId) {
        this.connection = connection;
        this.stream = stream;
        this.sentId = sentId;
    }

    /** Returns the next event; fails when the stream ends without {@code [DONE]}, stalls or is malformed. */
    Promise<Event> next() {
        int end = buffer.indexOf("\n\n");
        if (end >= 0) {
            String text = buffer.substring(0, end + 2);
            buffer.delete(0, end + 2);
            return Promise.of(text).map(this::event);
        }
        if (buffer.length() > MAX_EVENT_CHARS) {
            return Promise.ofException(malformed());
        }
        return connection.withProgressTimeout(stream.get()).async().then(buf -> {
            if (buf == null) {
                return Promise.ofException(malformed());
            }
            String text = new String(buf.asArray(), StandardCharsets.ISO_8859_1);
            buffer.append(text.replace("\r", ""));
            return next();
        });
    }

    /** Reads the end of the body behind the last event, so that the connection can be used again. */
    Promise<Boolean> drained() {
        return connection.withProgressTimeout(stream.get()).map((buf, e) -> {
            if (buf != null) {
                buf.recycle();
            }
            return buf == null && e == null;
        });
    }

    private Event event(String text) {
        byte[] raw = text.getBytes(StandardCharsets.ISO_8859_1);
        String data = data(new String(raw, StandardCharsets.UTF_8));
        if (data.equals(DONE)) {
            return new Event(raw, true, false, OptionalInt.empty());
        }
        if (data.isEmpty()) {
            return new Event(raw, false, false, OptionalInt.empty());
        }
        JsonNode json = json(data);
        JsonNode reason = json.path("choices").path(0).path("finish_reason");
        return new Event(raw, false, reason.isTextual(), tokenIndex(json));
    }

    private JsonNode json(String data) {
        JsonNode json;
        try {
            json = MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            throw malformed();
        }
        if (RequestIds.anothers(json.path("id").asText(), sentId)) {
            throw malformed();
        }
        return json;
    }

    private static OptionalInt tokenIndex(JsonNode json) {
        JsonNode index = json.path("token_index");
        return index.isInt() ? OptionalInt.of(index.asInt()) : OptionalInt.empty();
    }

    private static String data(String text) {
        StringBuilder data = new StringBuilder();
        for (String line : text.split("\n")) {
            if (line.startsWith(DATA)) {
                data.append(line.substring(DATA.length()).strip());
            }
        }
        return data.toString();
    }

    private RuntimeException malformed() {
        return Reporter.failure(
                FailureCode.TARGET_FAILED,
                "The stream from " + connection.address() + " is not whole.",
                "It ended early, or held an event that is malformed or another request's.",
                "Try again.",
                null);
    }

    /**
     * One event.
     *
     * @param finish whether it tells why the answer ends
     * @param tokenIndex the index of the token that it carries, where the engine tells it
     */
    record Event(byte[] raw, boolean done, boolean finish, OptionalInt tokenIndex) {}
}
