package org.poplarwharf.internal.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The state of a target according to its latest heartbeat. Immutable and thread-safe.
 *
 * @param id id of the target; requests to the target state it as the expected recipient
 * @param startedAtMillis start time in Unix milliseconds, or zero if the target does not report it. Together with the
 *     id it identifies an incarnation
 * @param heartbeatCount number of heartbeats since its start
 * @param leaving whether the target is shutting down and accepts no new requests
 * @param remainingMillis time until its VM is reclaimed, if the VM is reclaimed at short notice
 * @param softwareVersion version of the software that the target runs, not of its models; empty if it is not stated. A
 *     stream may continue only at a target with the version that began it
 * @param models models that are loaded now
 * @param inMemory names of models whose weights are cached in main memory
 * @param onDisk names of models whose weights are cached on disk
 */
public record Target(
        String id,
        long startedAtMillis,
        long heartbeatCount,
        String service,
        InetSocketAddress address,
        String zone,
        int slots,
        boolean leaving,
        OptionalLong remainingMillis,
        String softwareVersion,
        List<LoadedModel> models,
        Set<String> inMemory,
        Set<String> onDisk) {
    /** The service of a node; those of targets have a name. */
    private static final String ANY_SERVICE = "";

    /**
     * Returns whether a later state belongs to the same incarnation of this target. If the target does not report its
     * start time, a lower heartbeat count indicates a new incarnation, since a restart resets the count.
     */
    public boolean isSameIncarnation(Target later) {
        return id.equals(later.id)
                && startedAtMillis == later.startedAtMillis
                && (startedAtMillis != 0 || heartbeatCount <= later.heartbeatCount);
    }

    /** Returns another node in the place of a target: one that passes requests on to targets of all services. */
    public static Target ofNode(String nodeId, InetSocketAddress address) {
        return new Target(
                "node/" + nodeId,
                0,
                0,
                ANY_SERVICE,
                address,
                "",
                0,
                false,
                OptionalLong.empty(),
                "",
                List.of(),
                Set.of(),
                Set.of());
    }

    /** Returns whether this is another node, whose responses state nothing of itself but of the target that it has chosen. */
    public boolean isNode() {
        return service.equals(ANY_SERVICE);
    }

    /** Returns this state of a target that is shutting down. */
    public Target asLeaving() {
        return new Target(
                id,
                startedAtMillis,
                heartbeatCount,
                service,
                address,
                zone,
                slots,
                true,
                remainingMillis,
                softwareVersion,
                models,
                inMemory,
                onDisk);
    }

    /**
     * Returns whether another state of this target is older than this one, by the start time and then by the heartbeat
     * count. Without start times it cannot be told from a restart.
     */
    public boolean isNewerThan(Target other) {
        if (startedAtMillis == 0 || other.startedAtMillis == 0) {
            return false;
        }
        return startedAtMillis > other.startedAtMillis
                || (startedAtMillis == other.startedAtMillis && heartbeatCount > other.heartbeatCount);
    }
}
