package org.poplarwharf.internal.holder;

import java.util.Optional;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.dispatch.DispatchRequest;

/**
 * A request and the node that it came from: another node's connection or this node's own listener. Confined to the event
 * loop.
 */
record RequestSource(
        DispatchRequest request,
        Optional<HolderConnections.Connection> connection,
        Optional<PlacementListener> listener) {
    static RequestSource remote(DispatchRequest request, HolderConnections.Connection connection) {
        return new RequestSource(request, Optional.of(connection), Optional.empty());
    }

    static RequestSource local(DispatchRequest request, PlacementListener listener) {
        return new RequestSource(request, Optional.empty(), Optional.of(listener));
    }

    String service() {
        return request.service();
    }

    /** Returns the parts of the request's prompt as suspects; the holder does not know the request's fingerprint. */
    RequestSuspects suspects() {
        return new RequestSuspects("", request.service(), request.traits());
    }

    boolean isFrom(HolderConnections.Connection other) {
        return connection.filter(open -> open == other).isPresent();
    }

    void grant(String key, String targetId, String backupId, Optional<String> softwareVersion) {
        connection.ifPresent(open -> open.send(new HolderMessage.Granted(key, targetId, backupId, softwareVersion)));
        listener.ifPresent(local -> local.granted(key, targetId, backupId));
    }

    void refuse(String key, String reason, long retryAfterMillis) {
        connection.ifPresent(open -> open.send(new HolderMessage.Refused(key, reason, retryAfterMillis)));
        listener.ifPresent(local -> local.refused(key, reason, retryAfterMillis));
    }
}
