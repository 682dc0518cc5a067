package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * Reads and writes the request and response headers that carry metadata, under the names that a deployment uses.
 * Stateless.
 */
public interface HeaderCodec {
    /** Reads the metadata that a caller attaches to its request. */
    RequestTraits readRequest(HttpHeaders headers);

    /** Reads the key of a client account; empty unless the headers state exactly one. */
    Optional<String> readKey(HttpHeaders headers);

    /** Reads the metadata that a target attaches to its response. */
    ResponseTraits readResponse(int status, HttpHeaders headers);

    /** Rewrites a caller's headers in place into those sent to a target. */
    void rewriteForTarget(HttpHeaders headers, ForwardingTraits traits);

    /** States in a response that the request has not run, or removes that statement. */
    void setNotRun(HttpHeaders headers, boolean notRun);

    /** Rewrites a caller's headers in place into those sent to another node, which reads them as those of its own callers. */
    void rewriteForNode(HttpHeaders headers, ForwardingTraits traits);

    /** Adds the request id to a response that the node itself produces. */
    void addRequestId(HttpHeaders headers, String requestId);
}
