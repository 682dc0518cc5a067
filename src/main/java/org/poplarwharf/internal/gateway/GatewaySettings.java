package org.poplarwharf.internal.gateway;

import java.net.InetSocketAddress;

/**
 * The settings of a gateway. Immutable and thread-safe.
 *
 * @param nodeId the name of the VM
 * @param zone the availability zone
 * @param frontAddress where callers connect
 * @param readyAddress where readiness is asked for
 * @param peerAddress where other nodes connect
 * @param logAddress the platform's log
 * @param noticeMillis how soon a target's leaving must be acted on
 * @param planMillis how soon a new plan must be in force
 * @param graceMillis the time from the signal to end until the process is killed
 * @param retryRatio second sends of all nodes per request of a service
 * @param retrySlack second sends of all nodes that are allowed besides
 * @param retryWindowMillis the time over which second sends are counted
 * @param orderGapMillis the least time between orders to a target by two nodes
 * @param loadWindowMillis the time over which loads from the weight store are counted
 * @param loadWindowFactor how far loads within that time may exceed the weight store's rate
 * @param checkInMillis how often targets check in
 */
public record GatewaySettings(
        String nodeId,
        String zone,
        InetSocketAddress frontAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress logAddress,
        long noticeMillis,
        long planMillis,
        long graceMillis,
        double retryRatio,
        int retrySlack,
        long retryWindowMillis,
        long orderGapMillis,
        long loadWindowMillis,
        double loadWindowFactor,
        long checkInMillis) {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** For what a deployment leaves out: the values of the users' first two sites. */
    public static final GatewaySettings DEFAULTS = new GatewaySettings(
            "node", "zone", ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT, 2_000, 2_000, 8_000, 0.2, 50, 10_000, 3_000, 5_000,
            1.1, 1_200);
}
