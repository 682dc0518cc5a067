package org.poplarwharf.process;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.poplarwharf.internal.standin.Hashes;
import org.poplarwharf.internal.standin.TokenGenerator;

/**
 * A request of a test caller whose correct response can be computed from its contents. Immutable by convention.
 *
 * @param number identifies the request within a test
 * @param idempotencyKey the idempotency key of a non-repeatable call
 * @param tokenCount length of the response, for completions
 */
record VerifiableRequest(
        int number,
        Kind kind,
        byte[] body,
        Optional<String> idempotencyKey,
        int tokenCount,
        long deadlineMillis,
        String requestClass) {
    enum Kind {
        COMPLETION,
        STREAM,
        LOOKUP,
        NON_REPEATABLE_CALL
    }

    static VerifiableRequest completion(int number, String model, int tokens) {
        return completion(number, model, tokens, "request " + number, false);
    }

    static VerifiableRequest stream(int number, String model, int tokens) {
        return completion(number, model, tokens, "request " + number, true);
    }

    static VerifiableRequest completion(int number, String model, int tokens, String text, boolean stream) {
        String body = """
                {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}""".formatted(model, stream, tokens, text);
        Kind kind = stream ? Kind.STREAM : Kind.COMPLETION;
        return new VerifiableRequest(number, kind, bytes(body), Optional.empty(), tokens, 10_000, "standard");
    }

    static VerifiableRequest lookup(int number) {
        return new VerifiableRequest(
                number, Kind.LOOKUP, bytes("{\"lookup\":" + number + "}"), Optional.empty(), 0, 10_000, "standard");
    }

    /** Returns a non-repeatable call. */
    static VerifiableRequest nonRepeatableCall(int number, String key) {
        return new VerifiableRequest(
                number,
                Kind.NON_REPEATABLE_CALL,
                bytes("{\"key\":\"" + key + "\"}"),
                Optional.of(key),
                0,
                10_000,
                "standard");
    }

    VerifiableRequest withDeadline(long millis) {
        return new VerifiableRequest(number, kind, body, idempotencyKey, tokenCount, millis, requestClass);
    }

    VerifiableRequest withRequestClass(String name) {
        return new VerifiableRequest(number, kind, body, idempotencyKey, tokenCount, deadlineMillis, name);
    }

    boolean isCompletion() {
        return kind == Kind.COMPLETION || kind == Kind.STREAM;
    }

    String bodyHash() {
        return Hashes.sha256(body);
    }

    /** Returns the text of the complete correct response: the tokens of a completion, else the hash of the request body. */
    String expectedText() {
        return isCompletion() ? TokenGenerator.text(body, 0, tokenCount) : bodyHash();
    }

    @Override
    public String toString() {
        return "#" + number + " " + kind;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
