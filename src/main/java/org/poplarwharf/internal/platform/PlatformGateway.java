package org.poplarwharf.internal.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.holder.GatewayNode;
import org.poplarwharf.internal.holder.PlatformAdapter;

/**
 * A gateway node that uses this platform's protocols and formats.
 *
 * <p>Thread-safe.
 */
public final class PlatformGateway {
    /** The topic with the operator's configuration. */
    private static final String PLAN_TOPIC = "op";

    /** The topic in which targets register themselves. */
    private static final String TARGET_TOPIC = "servers";

    /** Interval between checks of the settings file, for changes that are not announced by SIGHUP. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 5_000;

    private final GatewayNode node;
    private final Path settingsFile;
    private volatile FileTime lastModified;

    private PlatformGateway(GatewayNode node, Path settingsFile) {
        this.node = node;
        this.settingsFile = settingsFile;
        this.lastModified = lastModifiedTime();
    }

    /**
     * Starts a gateway, which reloads its settings if the file changes. Throws if an address cannot be bound.
     */
    public static PlatformGateway start(Path settingsFile, GatewaySettings settings, PrintStream out) {
        PlatformAdapter adapter = new PlatformAdapter(
                new PlatformHeaderCodec(),
                httpClient -> new PlatformKeyedLog(httpClient, settings.logAddress()),
                HttpEngineClient::new,
                TargetEntryDecoder::decode,
                PlanDecoder::decode,
                text -> HostPort.parse(text).orElse(new InetSocketAddress(0)),
                HostPort::format,
                PLAN_TOPIC,
                TARGET_TOPIC);
        GatewayNode node = new GatewayNode(settings, adapter, out);
        node.start();
        PlatformGateway gateway = new PlatformGateway(node, settingsFile);
        Thread watcher = new Thread(gateway::watchSettingsFile, "settings-watch");
        watcher.setDaemon(true);
        watcher.start();
        return gateway;
    }

    private void watchSettingsFile() {
        try {
            while (true) {
                Thread.sleep(SETTINGS_CHECK_INTERVAL_MILLIS);
                if (!lastModifiedTime().equals(lastModified)) {
                    reload();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the settings again and applies those that can change in a running node. */
    public void reload() {
        lastModified = lastModifiedTime();
        try {
            node.reload(GatewaySettingsReader.read(settingsFile));
        } catch (PoplarWharfException e) {
            node.reloadFailed(e.getMessage());
        }
    }

    /** Returns when the settings file was last modified, or the Unix epoch if that cannot be determined. */
    private FileTime lastModifiedTime() {
        try {
            return Files.getLastModifiedTime(settingsFile);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
    }

    /** Finishes requests in flight and stops the node, which is told to stop now. Blocks. */
    public void drainAndStop() {
        drainAndStop(0);
    }

    /**
     * Finishes requests in flight and stops the node. Blocks.
     *
     * @param millisSinceSignal how long ago the process was told to stop
     */
    public void drainAndStop(long millisSinceSignal) {
        node.drainAndStop(millisSinceSignal);
    }

    /** Blocks until the node has stopped. */
    public void awaitStop() {
        node.awaitStop();
    }
}
