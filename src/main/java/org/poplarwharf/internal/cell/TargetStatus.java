package org.poplarwharf.internal.cell;

import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.HeldArtifact;
import org.poplarwharf.plugins.EngineDialect.Report;

/**
 * The last report of one target and the polls that failed since. Immutable and thread-safe.
 *
 * @param requestedAtStep the {@link LogicalClock} count of this process when the report was requested
 * @param receivedAtMillis monotonic time of its arrival
 * @param failedPollCount number of consecutive polls that failed since
 */
record TargetStatus(Optional<Report> report, long requestedAtStep, long receivedAtMillis, int failedPollCount) {
    /** Number of consecutive failed polls after which a target is suspect. The second poll uses a new connection. */
    static final int SUSPECT_AFTER_FAILED_POLL_COUNT = 2;

    static final TargetStatus UNKNOWN = new TargetStatus(Optional.empty(), -1, 0, 0);

    TargetStatus withFailedPoll() {
        return new TargetStatus(report, requestedAtStep, receivedAtMillis, failedPollCount + 1);
    }

    boolean isSuspect() {
        return failedPollCount >= SUSPECT_AFTER_FAILED_POLL_COUNT;
    }

    boolean isResponding() {
        return report.isPresent() && !isSuspect();
    }

    /** Returns whether the report was requested after the given count of the logical clock. */
    boolean wasRequestedAfter(long step) {
        return report.isPresent() && requestedAtStep > step;
    }

    Optional<HeldArtifact> heldArtifact(ArtifactId artifact) {
        return report.flatMap(r -> r.held().stream()
                .filter(held -> held.artifact().equals(artifact))
                .findFirst());
    }

    boolean hasLoaded(ArtifactId artifact, String version) {
        return heldArtifact(artifact)
                .filter(held -> held.version().equals(version))
                .filter(held -> held.state() == ArtifactState.LOADED)
                .isPresent();
    }
}
