package org.poplarwharf.internal.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.admission.Grant;

/**
 * A message between two nodes. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = PeerMessage.Pong.class, name = "pong"),
    @JsonSubTypes.Type(value = PeerMessage.Admit.class, name = "admit"),
    @JsonSubTypes.Type(value = PeerMessage.Granted.class, name = "granted"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = PeerMessage.Withdraw.class, name = "withdraw"),
    @JsonSubTypes.Type(value = PeerMessage.Done.class, name = "done"),
    @JsonSubTypes.Type(value = PeerMessage.Call.class, name = "call"),
    @JsonSubTypes.Type(value = PeerMessage.CallAnswer.class, name = "answer"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigKnown.class, name = "config-known"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigWanted.class, name = "config-wanted"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigState.class, name = "config-state")
})
public sealed interface PeerMessage {
    /** First message on a connection, both ways. */
    record Hello(String nodeId, long incarnation, String zone, String peerAddress) implements PeerMessage {}

    /** Asks for a sign of life. */
    record Ping(long sequence) implements PeerMessage {}

    /** Answers a {@link Ping}. */
    record Pong(long sequence) implements PeerMessage {}

    /** Asks the holder of a cell for a place on a replica; answered by {@link Granted} or {@link Failed}. */
    record Admit(String cell, AdmitRequest request) implements PeerMessage {}

    /** Answers an {@link Admit} with a place. */
    record Granted(String requestId, Grant grant) implements PeerMessage {}

    /**
     * The final answer to a request of any kind that failed.
     *
     * @param code the text of the failure code
     * @param retryAfterMillis negative when a retry is no help
     */
    record Failed(String requestId, String code, String message, long retryAfterMillis) implements PeerMessage {}

    /** The caller has left or its deadline has passed: the request needs no place any more. */
    record Withdraw(String cell, String requestId) implements PeerMessage {}

    /** Gives a granted place back. */
    record Done(String cell, Finished finished) implements PeerMessage {}

    /** Hands a call that may not be repeated to the holder of its cell; answered by {@link CallAnswer} or {@link Failed}. */
    record Call(
            String cell,
            String requestId,
            String callKey,
            String bodyFingerprint,
            AdmitRequest admission,
            String method,
            String path,
            String contentType,
            byte[] body)
            implements PeerMessage {}

    /** The whole answer of a call; {@code replayed} when an earlier attempt with the same key got it. */
    record CallAnswer(String requestId, int status, String contentType, byte[] body, boolean replayed)
            implements PeerMessage {}

    /** Tells which configuration the sender has in force; sent on a new link and when it changes. */
    record ConfigKnown(long version, long appliedOffset) implements PeerMessage {}

    /** Asks for the sender's folded configuration. */
    record ConfigWanted() implements PeerMessage {}

    /** The sender's folded configuration stream, encoded as a checkpoint record. */
    record ConfigState(List<byte[]> checkpoint) implements PeerMessage {}
}
