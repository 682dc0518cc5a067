package org.poplarwharf.internal.standin;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Generates the tokens of an engine stand-in's responses. Token {@code i} is a function of the request body and {@code i}, so
 * that a test can check that a response is complete and belongs to its request.
 *
 * <p>Stateless and thread-safe.
 */
public final class TokenGenerator {
    private TokenGenerator() {}

    /** Returns the token at an index; it ends with a space. */
    public static String token(byte[] body, int index) {
        long bodyHash = Hashing.wyhashFinal4().hashBytesToLong(body);
        String seed = bodyHash + "/" + index;
        long hash = Hashing.wyhashFinal4().hashBytesToLong(seed.getBytes(StandardCharsets.US_ASCII));
        return "t" + index + "-" + String.format("%08x", (int) hash) + " ";
    }

    /** Returns the text of the tokens from index {@code from} (inclusive) to {@code until} (exclusive). */
    public static String text(byte[] body, int from, int until) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < until; i++) {
            text.append(token(body, i));
        }
        return text.toString();
    }
}
