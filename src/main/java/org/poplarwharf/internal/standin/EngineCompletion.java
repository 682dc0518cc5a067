package org.poplarwharf.internal.standin;

import org.poplarwharf.plugins.ArtifactId;

/**
 * A chat completion request as an engine stand-in runs it. Immutable by convention: the body is not copied.
 *
 * @param tokens length of the complete response in tokens
 * @param resumeAfterTokens number of tokens that the caller already has; the response starts after them
 */
record EngineCompletion(
        String requestId,
        ArtifactId artifact,
        byte[] body,
        boolean stream,
        int tokens,
        int resumeAfterTokens,
        int priority) {}
