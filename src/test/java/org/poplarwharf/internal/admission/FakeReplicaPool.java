package org.poplarwharf.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.poplarwharf.FailureCode;
import org.poplarwharf.plugins.ArtifactId;

/** A replica pool whose state is set by the test. */
final class FakeReplicaPool implements ReplicaPool {
    private final Map<ArtifactId, List<Replica>> replicasByArtifact = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    final List<String> clearedFingerprints = new ArrayList<>();
    OptionalLong readyInMillis = OptionalLong.empty();
    FailureCode whyNotReady = FailureCode.NO_CAPACITY;
    int lastWaitingCount;

    void addReplica(ArtifactId artifact, String target, int maxConcurrent) {
        replicasByArtifact
                .computeIfAbsent(artifact, key -> new ArrayList<>())
                .add(new Replica(target, "127.0.0.1:1", "z1", maxConcurrent, 0, 0));
        listeners.forEach(Runnable::run);
    }

    @Override
    public List<Replica> servingReplicas(ArtifactId artifact) {
        return replicasByArtifact.getOrDefault(artifact, List.of());
    }

    @Override
    public OptionalLong readyInMillis(ArtifactId artifact) {
        return readyInMillis;
    }

    @Override
    public FailureCode notReadyCode(ArtifactId artifact) {
        return whyNotReady;
    }

    @Override
    public void updateDemand(ArtifactId artifact, int waiting, int highestPriority, long earliestDeadlineMillis) {
        lastWaitingCount = waiting;
    }

    @Override
    public void recordGrant(ArtifactId artifact, String target) {}

    @Override
    public void recordRelease(ArtifactId artifact, String target) {}

    @Override
    public void recordOutcome(String target, GrantCompletion.Outcome outcome) {}

    @Override
    public void recordSuspectCleared(String fingerprint) {
        clearedFingerprints.add(fingerprint);
    }

    @Override
    public void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }
}
