package org.poplarwharf.internal.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says of its request. Immutable and thread-safe.
 *
 * @param millisLeft how long the caller waits
 * @param promptTokens the size of the prompt; zero where it isn't told
 * @param maxOutputTokens the most tokens of the answer; zero where it isn't told
 * @param promptParts the parts of the prompt in order; the last one is the request's or its session's own
 * @param lastEventId the event behind which the caller wants its stream to go on
 */
public record RequestTraits(
        String requestId,
        OptionalLong millisLeft,
        Optional<String> model,
        Optional<String> adapter,
        long promptTokens,
        long maxOutputTokens,
        List<PromptPart> promptParts,
        OptionalLong lastEventId) {

    /** Returns the name of the weights that the request runs on: its model, with its adapter where it asks for one. */
    public String weights() {
        return model.orElse("") + adapter.map(name -> "/" + name).orElse("");
    }

    /** A part of a prompt that requests may share. Immutable and thread-safe. */
    public record PromptPart(String id, long tokens) {}
}
