package org.poplarwharf.internal.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.poplarwharf.FailureCode;

/**
 * What a node states, in a response to another node, of a request that it has not run.
 *
 * <p>Stateless and thread-safe.
 */
final class PeerRefusal {
    /** In a refusal for a reason that concerns the refusing node alone. */
    private static final String TRY_OTHER_NODE = "Poplarwharf-Try-Other-Node";

    private PeerRefusal() {}

    /** Marks a response to another node if it states that the request has not run. */
    static void mark(HttpHeaders headers, FailureCode code, HeaderCodec headerCodec) {
        if (code.ran() != FailureCode.Ran.NO) {
            return;
        }
        headerCodec.setNotRun(headers, true);
        if (code == FailureCode.NOT_READY || code == FailureCode.SHUTTING_DOWN) {
            headers.set(TRY_OTHER_NODE, "1");
        }
    }

    /** Returns whether another node may be tried after a refusal. */
    static boolean concernsNodeOnly(HttpHeaders headers) {
        return headers.contains(TRY_OTHER_NODE);
    }

    /** Removes the marks, which are not for callers. */
    static void removeMarks(HttpHeaders headers, HeaderCodec headerCodec) {
        headerCodec.setNotRun(headers, false);
        headers.remove(TRY_OTHER_NODE);
    }
}
