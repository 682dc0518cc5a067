package org.poplarwharf.internal.cell;

import java.util.Optional;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.Held;
import org.poplarwharf.plugins.EngineDialect.Report;

/**
 * The last report of one target. Immutable and thread-safe.
 *
 * @param requestedAt the step count of this process when the report was asked for
 * @param receivedMillis monotonic time of its arrival
 * @param failures polls that failed since
 */
record TargetWatch(Optional<Report> report, long requestedAt, long receivedMillis, int failures) {
    /** Polls that fail in a row before a target is suspected; the second is made on a fresh connection. */
    static final int SUSPECT_FAILURES = 2;

    static final TargetWatch UNKNOWN = new TargetWatch(Optional.empty(), -1, 0, 0);

    TargetWatch failed() {
        return new TargetWatch(report, requestedAt, receivedMillis, failures + 1);
    }

    boolean suspect() {
        return failures >= SUSPECT_FAILURES;
    }

    boolean answering() {
        return report.isPresent() && !suspect();
    }

    /** Tells whether the report was asked for after a step. */
    boolean requestedAfter(long step) {
        return report.isPresent() && requestedAt > step;
    }

    Optional<Held> held(ArtifactId artifact) {
        return report.flatMap(r -> r.held().stream()
                .filter(held -> held.artifact().equals(artifact))
                .findFirst());
    }

    boolean lists(ArtifactId artifact, String version) {
        return held(artifact)
                .filter(held -> held.version().equals(version))
                .filter(held -> held.state() == ArtifactState.LOADED)
                .isPresent();
    }
}
