package org.poplarwharf.internal.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.gateway.DecimalParser;
import org.poplarwharf.internal.gateway.ForwardingTraits;
import org.poplarwharf.internal.gateway.HeaderCodec;
import org.poplarwharf.internal.gateway.ResponseTraits;

/**
 * The headers by which callers, nodes and targets tell each other about a request. Stateless and thread-safe.
 */
public final class WireHeaders implements HeaderCodec {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    private static final String MODEL = "X-Model";
    private static final String TOKEN_COUNTS = "X-Token-Counts";
    private static final String PROMPT_PARTS = "X-Prompt-Prefix";
    /** Names the only target that may take a request or an order. */
    static final String EXPECTED_TARGET = "X-Expect-Instance";

    private static final String LAST_EVENT = "Last-Event-Id";
    private static final String RANK = "X-Request-Priority";
    private static final String BACKUP = "X-Kv-Backup";

    /** An address and the id of the run whose memory is kept there. */
    private static final String COPY = "Kv-From";

    private static final String ANSWER_DIGEST = "X-Response-Seal";
    private static final String NOT_RUN = "X-Not-Executed";

    /** Headers between nodes and targets; a caller's own are dropped. */
    private static final List<String> RESERVED =
            List.of(EXPECTED_TARGET, RANK, "X-Expect-Version", "X-Hold", "X-Pin-Ms", BACKUP, COPY, "Kv-Fetch");

    /** Ranks run from zero to nine; a request that bears none has the middle one. */
    private static final int HIGHEST_RANK = 9;

    @Override
    public RequestTraits readRequest(HttpHeaders headers) {
        String model = headers.get(MODEL, "");
        int slash = model.indexOf('/');
        long[] tokens = tokens(headers.get(TOKEN_COUNTS, ""));
        return new RequestTraits(
                headers.get(REQUEST_ID, ""),
                number(headers.get(DEADLINE_MILLIS)),
                model.isEmpty() ? Optional.empty() : Optional.of(slash < 0 ? model : model.substring(0, slash)),
                slash < 0 ? Optional.empty() : Optional.of(model.substring(slash + 1)),
                tokens[0],
                tokens[1],
                promptParts(headers.get(PROMPT_PARTS, "")),
                number(headers.get(LAST_EVENT)));
    }

    @Override
    public ResponseTraits readResponse(int status, HttpHeaders headers) {
        return new ResponseTraits(
                Optional.ofNullable(headers.get(REQUEST_ID)),
                headers.contains(ANSWER_DIGEST),
                headers.contains(NOT_RUN) || status == 421);
    }

    @Override
    public void rewriteForTarget(HttpHeaders headers, ForwardingTraits traits) {
        RESERVED.forEach(headers::remove);
        headers.set(EXPECTED_TARGET, traits.targetId());
        headers.set(DEADLINE_MILLIS, traits.millisLeft());
        if (traits.lastEventId().isPresent()) {
            headers.set(LAST_EVENT, traits.lastEventId().getAsLong());
        }
        traits.backupAddress().ifPresent(address -> headers.set(BACKUP, HostPort.format(address)));
        traits.resumeAddress()
                .ifPresent(address -> headers.set(COPY, HostPort.format(address) + "/" + headers.get(REQUEST_ID, "")));
        if (traits.priority().isPresent()) {
            headers.set(RANK, Math.clamp(traits.priority().getAsInt(), 0, HIGHEST_RANK));
        }
    }

    @Override
    public void addRequestId(HttpHeaders headers, String requestId) {
        if (!requestId.isEmpty()) {
            headers.set(REQUEST_ID, requestId);
        }
    }

    private static OptionalLong number(String text) {
        return text == null ? OptionalLong.empty() : DecimalParser.parse(text);
    }

    /** Reads prompt tokens and the most output tokens; zero where they aren't told. */
    private static long[] tokens(String text) {
        int comma = text.indexOf(',');
        if (comma < 0) {
            return new long[] {number(text.strip()).orElse(0), 0};
        }
        return new long[] {
            number(text.substring(0, comma).strip()).orElse(0),
            number(text.substring(comma + 1).strip()).orElse(0)
        };
    }

    private static List<RequestTraits.PromptPart> promptParts(String text) {
        List<RequestTraits.PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                OptionalLong tokens = number(part.substring(colon + 1).strip());
                String id = part.substring(0, colon).strip();
                tokens.ifPresent(count -> parts.add(new RequestTraits.PromptPart(id, count)));
            }
        }
        return parts;
    }
}
