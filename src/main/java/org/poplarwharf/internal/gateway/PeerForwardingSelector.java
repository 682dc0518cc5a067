package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;

/**
 * Selects targets for one request or, while this node reaches no target, a node that does. That node selects the target and
 * acquires what the request needs of shared limits.
 *
 * <p>Invariant: each attempt is known either to the selector of targets or to this class. Confined to the event loop.
 */
final class PeerForwardingSelector implements TargetSelector {
    /** A path that is cut off mostly stays so for seconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final TargetSelector targets;
    private final TargetReachability reachability;
    private final PeerNodes peers;
    private final GatewayContext gateway;
    private final Map<String, Target> nodeByKey = new HashMap<>();

    PeerForwardingSelector(
            TargetSelector targets, TargetReachability reachability, PeerNodes peers, GatewayContext gateway) {
        this.targets = targets;
        this.reachability = reachability;
        this.peers = peers;
        this.gateway = gateway;
    }

    @Override
    public void select(DispatchRequest request, Callback callback) {
        if (!reachability.isCutOff() || peers.isEmpty()) {
            targets.select(request, callback);
            return;
        }
        Optional<Target> node = peers.pick(request.excluded(), gateway.nowMillis());
        if (node.isEmpty()) {
            callback.onRejected("no node reaches targets", RETRY_AFTER_MILLIS);
            return;
        }
        gateway.metrics().countForwarded();
        nodeByKey.put(request.key(), node.get());
        callback.onSelected(node.get(), Optional.empty(), "peer");
    }

    @Override
    public void cancel(String key) {
        if (nodeByKey.remove(key) == null) {
            targets.cancel(key);
        }
    }

    @Override
    public void reportOutcome(String key, RunOutcome outcome) {
        Target node = nodeByKey.get(key);
        if (node == null) {
            targets.reportOutcome(key, outcome);
            return;
        }
        switch (outcome) {
            case RunOutcome.ConnectionFailed failed -> peers.recordFailure(node, gateway.nowMillis());
            case RunOutcome.Declined declined -> peers.recordFailure(node, gateway.nowMillis());
            case RunOutcome.FirstEventReceived received -> {
                // The node reports it to the holder.
            }
            case RunOutcome.LatePause late -> {
                // The node reports it to the holder.
            }
            case RunOutcome.Abandoned abandoned -> {
                // Unrelated to the node's health.
            }
        }
        if (outcome.endsRun()) {
            nodeByKey.remove(key);
        }
    }

    @Override
    public void reportEnd(String key, boolean successful) {
        if (nodeByKey.remove(key) == null) {
            targets.reportEnd(key, successful);
        }
    }

    @Override
    public void reportRequestEnd(boolean mayHaveRun) {
        targets.reportRequestEnd(mayHaveRun);
    }

    @Override
    public void reportLeaving(Target target) {
        targets.reportLeaving(target);
    }

    @Override
    public void reportLimit(String targetId, double requestsPerSecond) {
        targets.reportLimit(targetId, requestsPerSecond);
    }
}
