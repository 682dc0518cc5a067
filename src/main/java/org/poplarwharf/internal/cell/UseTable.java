package org.poplarwharf.internal.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.cell.PlanInput.Demand;
import org.poplarwharf.internal.cell.PlanInput.SlotKey;
import org.poplarwharf.internal.cell.PlanInput.Use;
import org.poplarwharf.internal.state.CellStateView.Slot;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.ArtifactId.Kind;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Counts the requests in flight on each slot and keeps the demand for each artifact.
 *
 * <p>Invariant: a request for an adapter counts as one for its base too. Belongs to the control thread.
 */
final class UseTable {
    private final IdlePolicy policy;
    private final LoadTimeEstimate loadTimes;
    private final Map<SlotKey, Count> counts = new HashMap<>();
    private final Map<ArtifactId, Demand> demand = new HashMap<>();

    private record Count(int inFlight, long lastUseMillis) {}

    UseTable(IdlePolicy policy, LoadTimeEstimate loadTimes) {
        this.policy = policy;
        this.loadTimes = loadTimes;
    }

    void demand(ArtifactId artifact, Demand wanted) {
        if (wanted.waiting() == 0) {
            demand.remove(artifact);
            return;
        }
        demand.put(artifact, wanted);
    }

    /** Returns the demand whose earliest deadline has not passed; admission tells again what still waits after that. */
    Map<ArtifactId, Demand> demand(long nowMillis) {
        demand.values().removeIf(wanted -> wanted.earliestDeadlineMillis() <= nowMillis);
        return Map.copyOf(demand);
    }

    void acquired(ArtifactId artifact, String target, long nowMillis) {
        policy.onRequest(artifact, nowMillis);
        change(artifact, target, 1, nowMillis);
    }

    void released(ArtifactId artifact, String target, long nowMillis) {
        change(artifact, target, -1, nowMillis);
    }

    private void change(ArtifactId artifact, String target, int added, long nowMillis) {
        count(new SlotKey(target, artifact), added, nowMillis);
        if (artifact.kind() == Kind.ADAPTER) {
            count(new SlotKey(target, artifact.base()), added, nowMillis);
        }
    }

    private void count(SlotKey key, int added, long nowMillis) {
        Count before = counts.getOrDefault(key, new Count(0, nowMillis));
        counts.put(key, new Count(Math.max(0, before.inFlight() + added), nowMillis));
    }

    /** Returns the requests that this holder granted on a target and that have not ended. */
    int inFlight(String target) {
        int sum = 0;
        for (Map.Entry<SlotKey, Count> entry : counts.entrySet()) {
            SlotKey key = entry.getKey();
            if (key.target().equals(target) && key.artifact().kind() != Kind.ADAPTER) {
                sum += entry.getValue().inFlight();
            }
        }
        return sum;
    }

    /**
     * Returns how each slot is used now; a slot not met before counts as used now.
     *
     * @param foreign targets that run requests which an earlier holder granted; each of their slots counts as in use
     */
    Map<SlotKey, Use> uses(Collection<Slot> slots, Set<String> foreign, long nowMillis) {
        Map<SlotKey, Use> uses = new HashMap<>();
        for (Slot slot : slots) {
            SlotKey key = SlotKey.of(slot);
            Count count = counts.computeIfAbsent(key, k -> new Count(0, nowMillis));
            OptionalLong keepAliveMillis = policy.keepAliveMillis(slot.artifact(), slot.sizeBytes(), nowMillis);
            int inFlight = foreign.contains(slot.target()) ? Math.max(1, count.inFlight()) : count.inFlight();
            boolean expired = inFlight == 0
                    && keepAliveMillis.isPresent()
                    && nowMillis - count.lastUseMillis() >= keepAliveMillis.getAsLong();
            long loadMillis = loadTimes.millis(slot.sizeBytes(), false);
            double worth =
                    policy.keepWorth(slot.artifact(), count.lastUseMillis(), loadMillis, slot.sizeBytes(), nowMillis);
            uses.put(key, new Use(inFlight, expired, worth));
        }
        counts.keySet()
                .removeIf(key -> !uses.containsKey(key) && counts.get(key).inFlight() == 0);
        return uses;
    }
}
