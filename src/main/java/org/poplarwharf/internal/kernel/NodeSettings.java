package org.poplarwharf.internal.kernel;

import java.util.List;
import java.util.Optional;

/**
 * The checked settings of a node. Immutable and thread-safe.
 *
 * @param nodeId unique among the nodes that run at one time
 * @param vmId the VM that the node runs on
 * @param listenAddress where callers connect
 * @param peerAddress where this node listens for other nodes
 * @param adminAddress where operators connect
 * @param adminToken what operators must show
 * @param peers addresses of nodes to start from; the VM list adds to them
 * @param logAddress the platform's log
 * @param vmListAddress the platform's list of VMs
 * @param leaseMillis how long a cell's lease lasts
 * @param driftMillis how far apart two clocks may drift within a lease
 * @param renewMillis how often a holder renews
 * @param engineReportMillis how often a holder asks each engine for its report
 * @param keepAliveMillis how long an idle artifact stays loaded, the dial of the idle policy
 * @param progressTimeoutMillis how long a connection may show no progress
 * @param drainMillis how long streams may go on after a shutdown was asked for
 * @param storeLoadsPerSecond loads a second that the weight store allows
 * @param storeFullSpeedPlaces loads that the weight store serves at once at full speed
 * @param logRetentionMillis how long the platform's log keeps a record
 * @param peerAdvertiseAddress where other nodes are told to connect, when that differs from {@code peerAddress}
 * @param drainNoticeMillis how long a node that is no longer ready still takes connections, so that balancers notice
 * @param keyValidityMillis how long the key of a call that may not be repeated is known
 */
public record NodeSettings(
        String nodeId,
        String vmId,
        String zone,
        String listenAddress,
        String peerAddress,
        String adminAddress,
        Optional<String> adminToken,
        List<String> peers,
        String logAddress,
        String vmListAddress,
        String logProtocol,
        String vmListProtocol,
        String engineDialect,
        String replicaSelector,
        String idlePolicy,
        int trafficThreads,
        long leaseMillis,
        long driftMillis,
        long renewMillis,
        long engineReportMillis,
        long keepAliveMillis,
        long progressTimeoutMillis,
        long drainMillis,
        double storeLoadsPerSecond,
        int storeFullSpeedPlaces,
        int maxBodyBytes,
        long logRetentionMillis,
        Optional<String> peerAdvertiseAddress,
        long drainNoticeMillis,
        long keyValidityMillis) {
    /** Returns the same settings with these addresses. */
    public NodeSettings withAddresses(String listen, String peer, String admin) {
        return new NodeSettings(
                nodeId,
                vmId,
                zone,
                listen,
                peer,
                admin,
                adminToken,
                peers,
                logAddress,
                vmListAddress,
                logProtocol,
                vmListProtocol,
                engineDialect,
                replicaSelector,
                idlePolicy,
                trafficThreads,
                leaseMillis,
                driftMillis,
                renewMillis,
                engineReportMillis,
                keepAliveMillis,
                progressTimeoutMillis,
                drainMillis,
                storeLoadsPerSecond,
                storeFullSpeedPlaces,
                maxBodyBytes,
                logRetentionMillis,
                peerAdvertiseAddress,
                drainNoticeMillis,
                keyValidityMillis);
    }

    /** Returns where other nodes are told to connect. */
    public String advertisedPeerAddress() {
        return peerAdvertiseAddress.orElse(peerAddress);
    }
}
