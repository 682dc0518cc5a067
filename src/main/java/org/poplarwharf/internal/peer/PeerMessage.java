package org.poplarwharf.internal.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion;

/**
 * A message between two nodes. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = PeerMessage.Pong.class, name = "pong"),
    @JsonSubTypes.Type(value = PeerMessage.RequestPermit.class, name = "admit"),
    @JsonSubTypes.Type(value = PeerMessage.PermitGranted.class, name = "granted"),
    @JsonSubTypes.Type(value = PeerMessage.RequestFailed.class, name = "failed"),
    @JsonSubTypes.Type(value = PeerMessage.CancelPermitRequest.class, name = "withdraw"),
    @JsonSubTypes.Type(value = PeerMessage.ReleasePermit.class, name = "done"),
    @JsonSubTypes.Type(value = PeerMessage.Call.class, name = "call"),
    @JsonSubTypes.Type(value = PeerMessage.CallResponse.class, name = "answer"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigVersion.class, name = "config-known"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigRequest.class, name = "config-wanted"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigCheckpoint.class, name = "config-state")
})
public sealed interface PeerMessage {
    /** The first message on a connection, sent by both ends. */
    record Hello(String nodeId, long incarnation, String zone, String peerAddress) implements PeerMessage {}

    /** Checks that the peer is alive; answered by {@link Pong}. */
    record Ping(long sequence) implements PeerMessage {}

    /** The response to a {@link Ping}. */
    record Pong(long sequence) implements PeerMessage {}

    /**
     * Requests a permit on a replica from the lease holder of a cell; answered by {@link PermitGranted} or {@link
     * RequestFailed}.
     */
    record RequestPermit(String cell, AdmissionRequest request) implements PeerMessage {}

    /** The response to a {@link RequestPermit} that was granted. */
    record PermitGranted(String requestId, Grant grant) implements PeerMessage {}

    /**
     * The final response to a failed request of any type.
     *
     * @param code the text of the failure code
     * @param retryAfterMillis the delay before a retry; negative if a retry would not help
     */
    record RequestFailed(String requestId, String code, String message, long retryAfterMillis) implements PeerMessage {}

    /** Cancels a permit request because the caller has disconnected or its deadline has passed. */
    record CancelPermitRequest(String cell, String requestId) implements PeerMessage {}

    /** Releases a granted permit. */
    record ReleasePermit(String cell, GrantCompletion finished) implements PeerMessage {}

    /**
     * Forwards a call that must not run twice to the lease holder of its cell; answered by {@link CallResponse} or
     * {@link RequestFailed}.
     */
    record Call(
            String cell,
            String requestId,
            String callKey,
            String bodyFingerprint,
            AdmissionRequest admission,
            String method,
            String path,
            String contentType,
            byte[] body)
            implements PeerMessage {}

    /** The complete response to a call; {@code replayed} if an earlier attempt with the same key received it. */
    record CallResponse(String requestId, int status, String contentType, byte[] body, boolean replayed)
            implements PeerMessage {}

    /** Announces the version of the sender's active configuration; sent on a new connection and on each change. */
    record ConfigVersion(long version, long appliedOffset) implements PeerMessage {}

    /** Requests the receiver's configuration; answered by {@link ConfigCheckpoint}. */
    record ConfigRequest() implements PeerMessage {}

    /** The sender's configuration, encoded as checkpoint records of the configuration stream. */
    record ConfigCheckpoint(List<byte[]> checkpoint) implements PeerMessage {}
}
