package org.poplarwharf.internal.crash;

import java.util.List;

/**
 * What identifies a request when its caller sends it again under another id. Immutable and thread-safe.
 *
 * @param fingerprint hash of the whole identity, see {@link RequestFingerprint}
 * @param callerAddress address from which the caller's connection comes
 * @param pathHash hash of the method and the path with its query
 * @param bodyHash hash of the body
 */
public record RequestIdentity(String fingerprint, String callerAddress, String pathHash, String bodyHash) {
    private static final byte[] NO_BODY = new byte[0];

    /** Returns the identity of a request. */
    public static RequestIdentity of(String callerAddress, String method, String path, byte[] body) {
        return new RequestIdentity(
                RequestFingerprint.of(List.of(callerAddress, method, path), body),
                callerAddress,
                RequestFingerprint.of(List.of(method, path), NO_BODY),
                RequestFingerprint.of(List.of(), body));
    }
}
