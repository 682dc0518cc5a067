package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The settings of a gateway. Immutable and thread-safe.
 *
 * @param nodeId the name of the VM
 * @param zone the availability zone
 * @param callerAddress the address that callers connect to
 * @param readinessAddress the address of the readiness and metrics endpoint
 * @param peerAddress the address that other nodes connect to
 * @param peerRequestAddress the address at which the node takes requests of nodes that reach no target; empty if it takes none
 * @param logAddress the address of the platform's log
 * @param targetRemovalMillis the time within which the node must react to a target's notice that it is leaving
 * @param planUpdateMillis the time within which a new plan must be applied
 * @param shutdownGraceMillis the time from the termination signal until the process is killed
 * @param retryRatio retries of all nodes per request of a service
 * @param minRetryCount retries of all nodes that are allowed in addition to the ratio
 * @param retryWindowMillis the window over which retries are counted
 * @param orderGapMillis the minimum time between orders to the same target from two nodes
 * @param loadWindowMillis the window over which loads from the weight store are counted
 * @param loadWindowFactor the ratio by which loads within that window may exceed the weight store's rate
 * @param heartbeatIntervalMillis the interval between heartbeats of a target
 * @param maxDescriptorCount the descriptors that the process may open
 * @param accounts how exactly keys and quotas of client accounts must be kept
 * @param ranksByCost whether requests that must wait, or be refused, are chosen by what that costs their callers
 * @param placesBySpeed whether requests for engines are placed by the learned speeds of targets, which are reported in any case
 */
public record GatewaySettings(
        String nodeId,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        Optional<InetSocketAddress> peerRequestAddress,
        InetSocketAddress logAddress,
        long targetRemovalMillis,
        long planUpdateMillis,
        long shutdownGraceMillis,
        double retryRatio,
        int minRetryCount,
        long retryWindowMillis,
        long orderGapMillis,
        long loadWindowMillis,
        double loadWindowFactor,
        long heartbeatIntervalMillis,
        int maxDescriptorCount,
        AccountSettings accounts,
        boolean ranksByCost,
        boolean placesBySpeed) {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** Defaults for settings that a deployment omits: the values of the users' first two sites. */
    public static final GatewaySettings DEFAULTS = new GatewaySettings(
            "node",
            "zone",
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            Optional.empty(),
            ANY_PORT,
            2_000,
            2_000,
            8_000,
            0.2,
            50,
            10_000,
            3_000,
            5_000,
            1.1,
            1_200,
            4_096,
            AccountSettings.DEFAULTS,
            false,
            false);
}
