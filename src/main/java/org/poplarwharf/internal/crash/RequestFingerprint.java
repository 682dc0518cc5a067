package org.poplarwharf.internal.crash;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;
import java.util.List;

/**
 * Computes hashes by which a request is recognized when its caller sends it again under another id.
 *
 * <p>Stateless and thread-safe.
 */
public final class RequestFingerprint {
    private RequestFingerprint() {}

    /**
     * Returns the hash of a request, in hexadecimal.
     *
     * @param attributes what identifies the request beside its body, in a fixed order, such as its caller and path
     */
    public static String of(List<String> attributes, byte[] body) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        attributes.forEach(stream::putString);
        HashValue128 hash = stream.putByteArray(body).get();
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(hash.getMostSignificantBits()) + hex.toHexDigits(hash.getLeastSignificantBits());
    }
}
