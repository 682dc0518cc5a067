package org.poplarwharf.internal.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.jline.utils.Signals;
import org.poplarwharf.PoplarWharfException;
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

    /** How often the settings file is looked at, for changes that no signal tells. */
    private static final long LOOK_MILLIS = 5_000;

    private final GatewayNode node;
    private final Path file;
    private volatile FileTime changed;

    private PlatformGateway(GatewayNode node, Path file) {
        this.node = node;
        this.file = file;
        this.changed = changeTime();
    }

    /** Starts a gateway; raises the failure where an address can't be used. */
    public static PlatformGateway start(Path file, GatewaySettings settings, PrintStream out) {
        GatewayNode.PlatformAdapter adapter = new GatewayNode.PlatformAdapter(
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
        PlatformGateway gateway = new PlatformGateway(node, file);
        Signals.register("HUP", gateway::reload);
        Thread watch = new Thread(gateway::watch, "settings-watch");
        watch.setDaemon(true);
        watch.start();
        return gateway;
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(LOOK_MILLIS);
                if (!changeTime().equals(changed)) {
                    reload();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload() {
        changed = changeTime();
        try {
            node.reload(BootFile.read(file));
        } catch (PoplarWharfException e) {
            node.reloadFailed(e.getMessage());
        }
    }

    /** Returns when the file was last changed; the epoch where that can't be told. */
    private FileTime changeTime() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
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
