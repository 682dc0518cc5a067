package org.poplarwharf.internal.holder;

import java.util.Optional;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.stream.StreamContinuation;

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

    /** Grants the request, whose software version may have been found since it was submitted. */
    void grant(DispatchRequest granted, Target target, Optional<Target> backup) {
        String key = granted.key();
        String backupId = backup.map(Target::id).orElse("");
        Optional<String> softwareVersion = granted.continuation().flatMap(StreamContinuation::softwareVersion);
        connection.ifPresent(open -> open.send(new HolderMessage.Granted(key, target.id(), backupId, softwareVersion)));
        listener.ifPresent(local -> local.granted(key, target.id(), backupId));
    }

    void refuse(String key, String reason, long retryAfterMillis) {
        connection.ifPresent(open -> open.send(new HolderMessage.Refused(key, reason, retryAfterMillis)));
        listener.ifPresent(local -> local.refused(key, reason, retryAfterMillis));
    }
}
