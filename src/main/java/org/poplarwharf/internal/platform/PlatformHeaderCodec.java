package org.poplarwharf.internal.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.gateway.CallerIdentity;
import org.poplarwharf.internal.gateway.DecimalParser;
import org.poplarwharf.internal.gateway.ForwardingTraits;
import org.poplarwharf.internal.gateway.HeaderCodec;
import org.poplarwharf.internal.gateway.ResponseTraits;
import org.poplarwharf.internal.http.FieldText;

/**
 * Reads and writes the headers in which callers, nodes and targets exchange metadata of a request. Stateless and
 * thread-safe.
 */
public final class PlatformHeaderCodec implements HeaderCodec {
    /** Targets repeat it in their responses. */
    static final String REQUEST_ID = "X-Request-Id";

    private static final String DEADLINE_MILLIS = "X-Deadline-Ms";
    private static final String MODEL = "X-Model";
    private static final String TOKEN_COUNTS = "X-Token-Counts";
    private static final String PROMPT_PARTS = "X-Prompt-Prefix";

    /** Id of the only target that may accept the request or order. */
    static final String EXPECTED_TARGET = "X-Expect-Instance";

    private static final String LAST_EVENT_ID = "Last-Event-Id";
    /** Id of the request that brought the first event of the stream that this request resumes. */
    private static final String RESUMED_REQUEST_ID = "Resumes";

    /** A longer id is none that a caller has sent before. */
    private static final int MAX_REQUEST_ID_CHARS = 200;

    private static final String PRIORITY = "X-Request-Priority";
    private static final String BACKUP_ADDRESS = "X-Kv-Backup";

    /** Address of the target with the backup of a run, followed by a slash and the id of the request. */
    private static final String RESUME_FROM = "Kv-From";

    private static final String AUTHORIZATION = "Authorization";
    private static final String KEY_SCHEME = "Bearer ";

    /** Name of the account of a request. */
    private static final String ACCOUNT = "X-Tenant";

    private static final String RESPONSE_DIGEST = "X-Response-Seal";
    private static final String NOT_EXECUTED = "X-Not-Executed";

    /** Requests per second, a decimal number, that a target in need takes from all nodes together. */
    private static final String REQUESTS_PER_SECOND_LIMIT = "Server-Limit";

    /** The requests, a decimal number, that a brittle target can decline in a second without failing. */
    private static final String BRITTLE = "Server-Brittle";

    /** Has the value 1 in all responses of a target that leaves. */
    private static final String TARGET_LEAVING = "Server-Leaving";

    /** In a response 503: the seconds, a decimal number, for which the target takes no requests from this node. */
    private static final String RETRY_AFTER = "Retry-After";

    private static final double MAX_PAUSE_SECONDS = 1e6;

    private static final int UNAVAILABLE = 503;

    /** The status of a response by another target than the expected one, whose statements concern that other target. */
    private static final int MISDIRECTED = 421;

    /** Headers that only nodes and targets may set; they are removed from callers' requests. */
    private static final List<String> RESERVED = List.of(
            EXPECTED_TARGET,
            PRIORITY,
            "X-Expect-Version",
            "X-Hold",
            "X-Pin-Ms",
            BACKUP_ADDRESS,
            RESUME_FROM,
            "Kv-Fetch");

    /** Priorities range from zero, the highest, to nine. A request without a priority has the middle one. */
    private static final int LOWEST_PRIORITY = 9;

    @Override
    public RequestTraits readRequest(HttpHeaders headers) {
        String model = headers.get(MODEL, "");
        int slash = model.indexOf('/');
        long[] tokenCounts = parseTokenCounts(headers.get(TOKEN_COUNTS, ""));
        return new RequestTraits(
                headers.get(REQUEST_ID, ""),
                parseNumber(headers.get(DEADLINE_MILLIS)),
                model.isEmpty() ? Optional.empty() : Optional.of(slash < 0 ? model : model.substring(0, slash)),
                slash < 0 ? Optional.empty() : Optional.of(model.substring(slash + 1)),
                tokenCounts[0],
                tokenCounts[1],
                parsePromptParts(headers.get(PROMPT_PARTS, "")),
                parseNumber(headers.get(LAST_EVENT_ID)),
                Optional.ofNullable(headers.get(RESUMED_REQUEST_ID))
                        .map(String::strip)
                        .filter(id -> !id.isEmpty() && id.length() <= MAX_REQUEST_ID_CHARS));
    }

    @Override
    public Optional<String> readKey(HttpHeaders headers) {
        List<String> credentials = headers.getAll(AUTHORIZATION);
        if (credentials.size() != 1 || !credentials.get(0).regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length())) {
            return Optional.empty();
        }
        return Optional.of(credentials.get(0).substring(KEY_SCHEME.length()).strip())
                .filter(key -> !key.isEmpty());
    }

    @Override
    public ResponseTraits readResponse(int status, HttpHeaders headers) {
        return new ResponseTraits(
                Optional.ofNullable(headers.get(REQUEST_ID)),
                headers.contains(RESPONSE_DIGEST),
                headers.contains(NOT_EXECUTED) || status == MISDIRECTED,
                parseRate(headers.get(REQUESTS_PER_SECOND_LIMIT)),
                status == MISDIRECTED ? OptionalDouble.empty() : parseLowestRate(headers.getAll(BRITTLE)),
                status != MISDIRECTED && statesLeaving(headers),
                status == UNAVAILABLE ? parsePause(headers.getAll(RETRY_AFTER)) : OptionalLong.empty());
    }

    @Override
    public void rewriteForTarget(HttpHeaders headers, ForwardingTraits traits) {
        RESERVED.forEach(headers::remove);
        headers.set(EXPECTED_TARGET, traits.targetId());
        headers.set(DEADLINE_MILLIS, traits.millisLeft());
        if (traits.lastEventId().isPresent()) {
            headers.set(LAST_EVENT_ID, traits.lastEventId().getAsLong());
        }
        traits.backupAddress().ifPresent(address -> headers.set(BACKUP_ADDRESS, HostPort.format(address)));
        traits.resumeAddress()
                .ifPresent(address ->
                        headers.set(RESUME_FROM, HostPort.format(address) + "/" + headers.get(REQUEST_ID, "")));
        if (traits.priority().isPresent()) {
            headers.set(PRIORITY, Math.clamp(traits.priority().getAsInt(), 0, LOWEST_PRIORITY));
        }
        rewriteCaller(headers, traits.caller());
    }

    @Override
    public void rewriteForNode(HttpHeaders headers, ForwardingTraits traits) {
        headers.set(DEADLINE_MILLIS, traits.millisLeft());
        if (traits.lastEventId().isPresent()) {
            headers.set(LAST_EVENT_ID, traits.lastEventId().getAsLong());
            if (!headers.contains(RESUMED_REQUEST_ID)) {
                headers.set(RESUMED_REQUEST_ID, headers.get(REQUEST_ID, ""));
            }
        }
    }

    @Override
    public void setNotRun(HttpHeaders headers, boolean notRun) {
        headers.remove(NOT_EXECUTED);
        if (notRun) {
            headers.set(NOT_EXECUTED, "1");
        }
    }

    private static void rewriteCaller(HttpHeaders headers, CallerIdentity caller) {
        if (caller instanceof CallerIdentity.Unmanaged) {
            return;
        }
        headers.remove(AUTHORIZATION);
        headers.remove(ACCOUNT);
        caller.knownAccount()
                .flatMap(account -> FieldText.encode(account.name()))
                .ifPresent(name -> headers.set(ACCOUNT, name));
    }

    @Override
    public void addRequestId(HttpHeaders headers, String requestId) {
        if (!requestId.isEmpty()) {
            headers.set(REQUEST_ID, requestId);
        }
    }

    private static OptionalLong parseNumber(String text) {
        return text == null ? OptionalLong.empty() : DecimalParser.parse(text);
    }

    private static boolean statesLeaving(HttpHeaders headers) {
        return headers.getAll(TARGET_LEAVING).stream().map(String::strip).anyMatch("1"::equals);
    }

    /** Parses the longest of some durations in seconds; empty if none is a decimal number that isn't negative, such as a date. */
    private static OptionalLong parsePause(List<String> texts) {
        return texts.stream()
                .flatMapToDouble(text -> parseRate(text).stream())
                .mapToLong(seconds -> (long) Math.ceil(Math.min(seconds, MAX_PAUSE_SECONDS) * 1_000))
                .max();
    }

    private static OptionalDouble parseLowestRate(List<String> texts) {
        return texts.stream().flatMapToDouble(text -> parseRate(text).stream()).min();
    }

    /** Parses a rate; empty unless it is a finite decimal number that isn't negative. */
    private static OptionalDouble parseRate(String text) {
        if (text == null) {
            return OptionalDouble.empty();
        }
        try {
            double rate = Double.parseDouble(text.strip());
            return Double.isFinite(rate) && rate >= 0 ? OptionalDouble.of(rate) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            // A malformed header names no limit.
            return OptionalDouble.empty();
        }
    }

    /** Parses the number of prompt tokens and the maximum number of output tokens; each is zero if it is not stated. */
    private static long[] parseTokenCounts(String text) {
        int comma = text.indexOf(',');
        if (comma < 0) {
            return new long[] {parseNumber(text.strip()).orElse(0), 0};
        }
        return new long[] {
            parseNumber(text.substring(0, comma).strip()).orElse(0),
            parseNumber(text.substring(comma + 1).strip()).orElse(0)
        };
    }

    private static List<RequestTraits.PromptPart> parsePromptParts(String text) {
        List<RequestTraits.PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                OptionalLong tokens = parseNumber(part.substring(colon + 1).strip());
                String id = part.substring(0, colon).strip();
                tokens.ifPresent(count -> parts.add(new RequestTraits.PromptPart(id, count)));
            }
        }
        return parts;
    }
}
