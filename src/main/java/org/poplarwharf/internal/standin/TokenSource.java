package org.poplarwharf.internal.standin;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The tokens that an engine stand-in answers with: token {@code i} is a function of the request's body and {@code i}, so
 * that a test can tell whether an answer is whole and its own.
 *
 * <p>Stateless and thread-safe.
 */
public final class TokenSource {
    private TokenSource() {}

    /** Returns one token; each ends with a space. */
    public static String token(byte[] body, int index) {
        long bodyHash = Hashing.wyhashFinal4().hashBytesToLong(body);
        String seed = bodyHash + "/" + index;
        long hash = Hashing.wyhashFinal4().hashBytesToLong(seed.getBytes(StandardCharsets.US_ASCII));
        return "t" + index + "-" + String.format("%08x", (int) hash) + " ";
    }

    /** Returns the text of the tokens from {@code from} up to, not including, {@code until}. */
    public static String text(byte[] body, int from, int until) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < until; i++) {
            text.append(token(body, i));
        }
        return text.toString();
    }
}
