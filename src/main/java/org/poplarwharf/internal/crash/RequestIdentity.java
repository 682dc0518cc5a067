package org.poplarwharf.internal.crash;

import java.util.List;

/**
 * What identifies a request when its caller sends it again under another id. Immutable and thread-safe.
 *
 * <p>Invariant: the fingerprint does not depend on the connection, because a caller may connect from many addresses.
 *
 * @param fingerprint hash of the caller's credentials, the method, the path with its query and the body
 * @param pathHash hash of the method and the path without its query
 * @param queryHash hash of the query
 * @param bodyHash hash of the body
 */
public record RequestIdentity(String fingerprint, String pathHash, String queryHash, String bodyHash) {
    private static final byte[] NO_BODY = new byte[0];

    /**
     * Returns the identity of a request.
     *
     * @param credentials what the caller states to identify itself; empty if nothing
     * @param uri path and query
     */
    public static RequestIdentity of(String credentials, String method, String uri, byte[] body) {
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        return new RequestIdentity(
                RequestFingerprint.of(List.of(credentials, method, uri), body),
                RequestFingerprint.of(List.of(method, path), NO_BODY),
                RequestFingerprint.of(List.of(uri.substring(path.length())), NO_BODY),
                RequestFingerprint.of(List.of(), body));
    }
}
