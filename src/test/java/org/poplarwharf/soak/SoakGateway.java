package org.poplarwharf.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.poplarwharf.process.PoplarProcess;

/** A gateway process with its settings file; can be restarted. Thread-safe. */
final class SoakGateway {
    static final long SHUTDOWN_GRACE_SECONDS = 4;
    static final long DRAIN_MILLIS = 1_500;
    static final long CONFIG_MILLIS = 2_000;
    static final long LEASE_MILLIS = 3_000;
    static final long LOAD_WINDOW_SECONDS = 5;
    static final double LOAD_WINDOW_FACTOR = 1.1;
    private static final int READINESS_TIMEOUT_MILLIS = 1_000;

    /** A loopback address derived from this process's id, so that concurrent soak tests don't compete for ports. */
    static final String HOST = loopbackHost(ProcessHandle.current().pid());

    final String name;
    final int frontPort;
    private final Path directory;
    private final int readyPort;
    private final int peerPort;
    private final String logAddress;
    private PoplarProcess process;
    private int startCount;

    SoakGateway(Path directory, String name, int firstPort, String logAddress) {
        this.directory = directory;
        this.name = name;
        this.logAddress = logAddress;
        frontPort = firstPort;
        readyPort = firstPort + 1;
        peerPort = firstPort + 2;
        writeSettings(DRAIN_MILLIS);
    }

    synchronized void start() {
        startCount++;
        process = PoplarProcess.start(
                directory,
                incarnation().replace('/', '-'),
                List.of("gateway", "--boot", settingsFile().toString()));
    }

    /** Returns the name and start number, which identify the current process among all starts of this gateway. */
    synchronized String incarnation() {
        return name + "/" + startCount;
    }

    synchronized PoplarProcess process() {
        return process;
    }

    /** Returns whether the gateway's readiness endpoint responds with 200. */
    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + HOST + ":" + readyPort + "/ready")
                    .toURL()
                    .openConnection();
            connection.setConnectTimeout(READINESS_TIMEOUT_MILLIS);
            connection.setReadTimeout(READINESS_TIMEOUT_MILLIS);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Rewrites the settings file and signals the running process to reload it. */
    void changeSettings(long drainMillis) {
        writeSettings(drainMillis);
        process().signalReload();
    }

    /** Signals a process that is about to end to reload its settings. One that is terminated while it starts ends at once. */
    void reloadWhileEnding() {
        process().signalReloadIfRunning();
    }

    private static String loopbackHost(long pid) {
        return "127." + (1 + (pid >> 16) % 250) + "." + (pid >> 8) % 256 + "." + pid % 256;
    }

    private Path settingsFile() {
        return directory.resolve(name + ".yaml");
    }

    private void writeSettings(long drainMillis) {
        String settings = "node: \"" + name + "\"\nzone: \"z1\"\nip: \"" + HOST + "\"\nlisten:\n  front: \"" + HOST
                + ":"
                + frontPort + "\"\n  ready: \"" + HOST + ":" + readyPort + "\"\nportRange: [" + peerPort + ", "
                + (peerPort + 1) + "]\nheartbeatMs: " + SoakFleet.HEARTBEAT_MILLIS + "\nplatform:\n  addr: \""
                + logAddress
                + "\"\nbounds:\n  drainMs: " + drainMillis + "\n  graceS: " + SHUTDOWN_GRACE_SECONDS + "\n  configMs: "
                + CONFIG_MILLIS + "\n  retryRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 50\n  leaseMs: "
                + LEASE_MILLIS + "\n  ceilingWindowS: " + LOAD_WINDOW_SECONDS + "\n  ceilingFactor: "
                + LOAD_WINDOW_FACTOR + "\n";
        try {
            Files.writeString(settingsFile(), settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
