package org.poplarwharf.internal.platform;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.holder.GatewayNode;

/**
 * A gateway that speaks this platform's protocols.
 *
 * <p>Thread-safe.
 */
public final class PlatformGateway {
    /** The topics of the platform: the operator's documents, and the targets' entries. */
    private static final String PLAN_TOPIC = "op";

    private static final String TARGET_TOPIC = "servers";

    private final GatewayNode node;

    private PlatformGateway(GatewayNode node) {
        this.node = node;
    }

    /** Starts a gateway; raises the failure where an address can't be used. */
    public static PlatformGateway start(Path file, GatewaySettings settings, PrintStream out) {
        GatewayNode.Adapter adapter = new GatewayNode.Adapter(
                new WireHeaders(),
                caller -> new PlatformLog(caller, settings.logAddress()),
                EngineCalls::new,
                TargetEntries::decode,
                PlanDocument::decode,
                text -> HostPort.parse(text).orElse(new InetSocketAddress(0)),
                HostPort::format,
                PLAN_TOPIC,
                TARGET_TOPIC);
        GatewayNode node = new GatewayNode(settings, adapter, out);
        node.start();
        return new PlatformGateway(node);
    }

    /** Finishes what is under way and stops. Blocks. */
    public void drainAndStop() {
        node.drainAndStop();
    }

    /** Waits until the node has stopped. */
    public void awaitStop() {
        node.awaitStop();
    }
}
