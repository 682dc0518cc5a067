package org.poplarwharf.internal.standin;

import org.poplarwharf.plugins.ArtifactId;

/**
 * A chat completion as an engine stand-in runs it. Immutable by convention.
 *
 * @param tokens length of the whole answer
 * @param resumeAfterTokens tokens that the caller already has
 */
record EngineJob(
        String requestId,
        ArtifactId artifact,
        byte[] body,
        boolean stream,
        int tokens,
        int resumeAfterTokens,
        int priority) {}
