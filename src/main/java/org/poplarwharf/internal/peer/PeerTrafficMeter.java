package org.poplarwharf.internal.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts the bytes of control traffic on the links of a node: all frames but calls and their answers, which carry the
 * bodies of callers.
 *
 * <p>Thread-safe.
 */
final class PeerTrafficMeter {
    private final Counter sent;
    private final Counter received;
    private final Counter controlSent;
    private final Counter controlReceived;

    PeerTrafficMeter(MetricRegistry metrics) {
        sent = metrics.counter("peer_bytes.sent");
        received = metrics.counter("peer_bytes.received");
        controlSent = metrics.counter("control_bytes.sent");
        controlReceived = metrics.counter("control_bytes.received");
    }

    void sent(PeerMessage message, int frameBytes) {
        if (isControl(message)) {
            sent.inc(frameBytes);
            controlSent.inc(frameBytes);
        }
    }

    void received(PeerMessage message, int frameBytes) {
        if (isControl(message)) {
            received.inc(frameBytes);
            controlReceived.inc(frameBytes);
        }
    }

    private static boolean isControl(PeerMessage message) {
        return !(message instanceof PeerMessage.Call) && !(message instanceof PeerMessage.CallResponse);
    }
}
