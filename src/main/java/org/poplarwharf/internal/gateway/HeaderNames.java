package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.poplarwharf.internal.fleet.RequestTraits;

/** Reads and writes what headers say of a request, whatever a deployment calls them. Stateless. */
public interface HeaderNames {
    /** Reads what a caller says of its request. */
    RequestTraits request(HttpHeaders headers);

    /** Reads what a target says of its answer. */
    AnswerTraits answer(int status, HttpHeaders headers);

    /** Changes a caller's headers into those that a target gets. */
    void forward(HttpHeaders headers, ForwardingTraits traits);

    /** Adds to an answer of the node's own the id of its request. */
    void ownAnswer(HttpHeaders headers, String requestId);
}
