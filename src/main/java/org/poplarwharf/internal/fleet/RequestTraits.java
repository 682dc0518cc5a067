package org.poplarwharf.internal.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Attributes of a request that its caller states in the headers. Immutable and thread-safe.
 *
 * @param remainingMillis how long the caller still waits for the response
 * @param promptTokens size of the prompt, or zero if the caller does not state it
 * @param maxOutputTokens maximum number of tokens in the response, or zero if the caller does not state it
 * @param promptParts parts of the prompt in order; the last part belongs to this request or its session alone
 * @param lastEventId id of the last event that the caller received; the stream resumes after it
 * @param resumedRequestId id of the request that brought the first event of the stream to be resumed
 */
public record RequestTraits(
        String requestId,
        OptionalLong remainingMillis,
        Optional<String> model,
        Optional<String> adapter,
        long promptTokens,
        long maxOutputTokens,
        List<PromptPart> promptParts,
        OptionalLong lastEventId,
        Optional<String> resumedRequestId) {

    /** Returns the name of the model, followed by a slash and the adapter if the request asks for one. */
    public String weightsName() {
        return model.orElse("") + adapter.map(name -> "/" + name).orElse("");
    }

    /** Returns the parts of the prompt that other requests may share. */
    public List<PromptPart> sharedPromptParts() {
        return promptParts.subList(0, Math.max(0, promptParts.size() - 1));
    }

    /** Returns whether the caller resumes a stream that an earlier request began. */
    public boolean resumesStream() {
        return lastEventId.isPresent();
    }

    /** Returns the id by which a stream is known over all requests that resume it: that of the request that began it. */
    public String streamId() {
        return resumedRequestId.orElse(requestId);
    }

    /** A part of a prompt that several requests may share. Immutable and thread-safe. */
    public record PromptPart(String id, long tokens) {}
}
