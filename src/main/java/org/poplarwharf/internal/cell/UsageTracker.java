package org.poplarwharf.internal.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.ArtifactDemand;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.cell.PlanInput.SlotUsage;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Counts the requests in flight on each slot and stores the demand for each artifact.
 *
 * <p>Invariant: a request for an adapter also counts for its base model. Confined to the control thread.
 */
final class UsageTracker {
    private final IdlePolicy policy;
    private final LoadTimeEstimator loadTimes;
    private final Map<SlotKey, SlotCount> counts = new HashMap<>();
    private final Map<ArtifactId, ArtifactDemand> demand = new HashMap<>();

    private record SlotCount(int inFlight, long lastUseMillis) {}

    UsageTracker(IdlePolicy policy, LoadTimeEstimator loadTimes) {
        this.policy = policy;
        this.loadTimes = loadTimes;
    }

    void demand(ArtifactId artifact, ArtifactDemand artifactDemand) {
        if (artifactDemand.waitingCount() == 0) {
            demand.remove(artifact);
            return;
        }
        demand.put(artifact, artifactDemand);
    }

    /**
     * Returns the demand whose earliest deadline has not passed. Admission reports again what is still waiting after
     * that.
     */
    Map<ArtifactId, ArtifactDemand> demand(long nowMillis) {
        demand.values().removeIf(artifactDemand -> artifactDemand.earliestDeadlineMillis() <= nowMillis);
        return Map.copyOf(demand);
    }

    void recordAcquired(ArtifactId artifact, String target, long nowMillis) {
        policy.onRequest(artifact, nowMillis);
        addRequests(artifact, target, 1, nowMillis);
    }

    void recordReleased(ArtifactId artifact, String target, long nowMillis) {
        addRequests(artifact, target, -1, nowMillis);
    }

    private void addRequests(ArtifactId artifact, String target, int delta, long nowMillis) {
        addToSlot(new SlotKey(target, artifact), delta, nowMillis);
        if (artifact.kind() == Kind.ADAPTER) {
            addToSlot(new SlotKey(target, artifact.base()), delta, nowMillis);
        }
    }

    private void addToSlot(SlotKey key, int delta, long nowMillis) {
        SlotCount previous = counts.getOrDefault(key, new SlotCount(0, nowMillis));
        counts.put(key, new SlotCount(Math.max(0, previous.inFlight() + delta), nowMillis));
    }

    /** Returns the number of requests in flight on a target that this holder granted. */
    int inFlightCount(String target) {
        int sum = 0;
        for (Map.Entry<SlotKey, SlotCount> entry : counts.entrySet()) {
            SlotKey key = entry.getKey();
            if (key.target().equals(target) && key.artifact().kind() != Kind.ADAPTER) {
                sum += entry.getValue().inFlight();
            }
        }
        return sum;
    }

    /**
     * Returns the current usage of each slot. A slot that was not seen before counts as used now.
     *
     * @param foreignTargets targets that run requests granted by an earlier holder; each of their slots counts as in
     * use
     */
    Map<SlotKey, SlotUsage> usageOf(Collection<Slot> slots, Set<String> foreignTargets, long nowMillis) {
        Map<SlotKey, SlotUsage> usage = new HashMap<>();
        for (Slot slot : slots) {
            SlotKey key = SlotKey.of(slot);
            SlotCount count = counts.computeIfAbsent(key, k -> new SlotCount(0, nowMillis));
            OptionalLong keepAliveMillis = policy.keepAliveMillis(slot.artifact(), slot.sizeBytes(), nowMillis);
            int inFlight = foreignTargets.contains(slot.target()) ? Math.max(1, count.inFlight()) : count.inFlight();
            boolean expired = inFlight == 0
                    && keepAliveMillis.isPresent()
                    && nowMillis - count.lastUseMillis() >= keepAliveMillis.getAsLong();
            long loadMillis = loadTimes.estimateMillis(slot.sizeBytes(), false);
            double retentionValue = policy.retentionValue(
                    slot.artifact(), count.lastUseMillis(), loadMillis, slot.sizeBytes(), nowMillis);
            usage.put(key, new SlotUsage(inFlight, expired, retentionValue));
        }
        counts.keySet()
                .removeIf(key -> !usage.containsKey(key) && counts.get(key).inFlight() == 0);
        return usage;
    }
}
