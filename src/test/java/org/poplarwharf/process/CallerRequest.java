package org.poplarwharf.process;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.poplarwharf.internal.standin.Hashes;
import org.poplarwharf.internal.standin.TokenGenerator;

/**
 * A request as a caller sends it. The whole of its own answer can be told from it. Immutable by convention.
 *
 * @param number tells requests apart
 * @param key the idempotency key of a call that may not be repeated
 * @param tokens length of the answer, for completions
 */
record CallerRequest(
        int number,
        Kind kind,
        byte[] body,
        Optional<String> key,
        int tokens,
        long deadlineMillis,
        String requestClass) {
    enum Kind {
        COMPLETION,
        STREAM,
        LOOKUP,
        CALL
    }

    static CallerRequest completion(int number, String model, int tokens) {
        return completion(number, model, tokens, "request " + number, false);
    }

    static CallerRequest stream(int number, String model, int tokens) {
        return completion(number, model, tokens, "request " + number, true);
    }

    static CallerRequest completion(int number, String model, int tokens, String text, boolean stream) {
        String body = """
                {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}""".formatted(model, stream, tokens, text);
        Kind kind = stream ? Kind.STREAM : Kind.COMPLETION;
        return new CallerRequest(number, kind, bytes(body), Optional.empty(), tokens, 10_000, "standard");
    }

    static CallerRequest lookup(int number) {
        return new CallerRequest(
                number, Kind.LOOKUP, bytes("{\"lookup\":" + number + "}"), Optional.empty(), 0, 10_000, "standard");
    }

    /** Returns a call that may not be repeated. */
    static CallerRequest call(int number, String key) {
        return new CallerRequest(
                number, Kind.CALL, bytes("{\"key\":\"" + key + "\"}"), Optional.of(key), 0, 10_000, "standard");
    }

    CallerRequest within(long millis) {
        return new CallerRequest(number, kind, body, key, tokens, millis, requestClass);
    }

    CallerRequest ofClass(String name) {
        return new CallerRequest(number, kind, body, key, tokens, deadlineMillis, name);
    }

    boolean completion() {
        return kind == Kind.COMPLETION || kind == Kind.STREAM;
    }

    String bodyHash() {
        return Hashes.sha256(body);
    }

    /** Returns what identifies the whole own answer: the tokens of a completion, the body's hash of a call. */
    String expected() {
        return completion() ? TokenGenerator.text(body, 0, tokens) : bodyHash();
    }

    @Override
    public String toString() {
        return "#" + number + " " + kind;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
