package org.poplarwharf.internal.entry;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Computes hashes that identify requests. Stateless and thread-safe.
 */
final class RequestHashes {
    private static final int MAX_PREFIX_BYTES = 1_024;

    private RequestHashes() {}

    /** Returns a hash of a request, which identifies a request that crashes targets when it is sent again. */
    static String fingerprint(String tenant, ArtifactId artifact, String method, String path, byte[] body) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        stream.putString(tenant).putString(artifact.toString());
        stream.putString(method).putString(path).putByteArray(body);
        HashValue128 hash = stream.get();
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Returns a hash of the first bytes of the body, which routes requests with a common prompt prefix to one replica. */
    static long prefixHash(byte[] body) {
        return Hashing.wyhashFinal4().hashBytesToLong(body, 0, Math.min(MAX_PREFIX_BYTES, body.length));
    }
}
