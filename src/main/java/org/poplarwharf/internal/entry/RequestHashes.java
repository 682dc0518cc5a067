package org.poplarwharf.internal.entry;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Computes hashes by which requests are routed. Stateless and thread-safe.
 */
final class RequestHashes {
    private static final int MAX_PREFIX_BYTES = 1_024;

    private RequestHashes() {}

    /** Returns a hash of the first bytes of the body, which routes requests with a common prompt prefix to one replica. */
    static long prefixHash(byte[] body) {
        return Hashing.wyhashFinal4().hashBytesToLong(body, 0, Math.min(MAX_PREFIX_BYTES, body.length));
    }
}
