package org.poplarwharf.internal.kernel;

import java.util.List;
import java.util.Optional;

/**
 * The validated settings of a node. Immutable and thread-safe.
 *
 * @param nodeId unique among all running nodes
 * @param vmId the VM that the node runs on
 * @param listenAddress the address on which callers connect
 * @param peerAddress the address on which this node listens for other nodes
 * @param adminAddress the address on which operators connect
 * @param adminToken the token that operators must send
 * @param peers initial addresses of other nodes; the VM list adds more
 * @param logAddress the address of the platform's log
 * @param vmListAddress the address of the platform's VM list
 * @param leaseMillis the duration of a cell's lease
 * @param maxClockDriftMillis the maximum drift between two clocks during a lease
 * @param leaseRenewMillis the interval at which a lease holder renews its lease
 * @param enginePollMillis the interval at which a lease holder polls each engine
 * @param keepAliveMillis how long an idle artifact stays loaded, the parameter of the idle policy
 * @param progressTimeoutMillis how long a connection may make no progress before it times out
 * @param drainMillis how long response streams may continue after a shutdown request
 * @param storeLoadsPerSecond the rate of loads that the weight store allows
 * @param storeMaxConcurrentLoads the number of concurrent loads that the weight store serves at full speed
 * @param logRetentionMillis how long the platform's log retains a record
 * @param peerAdvertiseAddress the address given to other nodes, if it differs from {@code peerAddress}
 * @param drainNoticeMillis how long a node still accepts connections after it is no longer ready, so that load
 *     balancers can notice
 * @param idempotencyKeyTtlMillis how long the idempotency key of a non-repeatable call is remembered
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
        long maxClockDriftMillis,
        long leaseRenewMillis,
        long enginePollMillis,
        long keepAliveMillis,
        long progressTimeoutMillis,
        long drainMillis,
        double storeLoadsPerSecond,
        int storeMaxConcurrentLoads,
        int maxBodyBytes,
        long logRetentionMillis,
        Optional<String> peerAdvertiseAddress,
        long drainNoticeMillis,
        long idempotencyKeyTtlMillis) {
    /** Returns a copy of the settings with the given addresses. */
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
                maxClockDriftMillis,
                leaseRenewMillis,
                enginePollMillis,
                keepAliveMillis,
                progressTimeoutMillis,
                drainMillis,
                storeLoadsPerSecond,
                storeMaxConcurrentLoads,
                maxBodyBytes,
                logRetentionMillis,
                peerAdvertiseAddress,
                drainNoticeMillis,
                idempotencyKeyTtlMillis);
    }

    /** Returns the address given to other nodes for connections to this node. */
    public String advertisedPeerAddress() {
        return peerAdvertiseAddress.orElse(peerAddress);
    }
}
