package org.poplarwharf.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.poplarwharf.process.PoplarProcess;

/** A gateway process, its settings file and its restarts. Thread-safe. */
final class SoakGateway {
    static final long GRACE_SECONDS = 4;
    static final long DRAIN_MILLIS = 1_500;
    static final long CONFIG_MILLIS = 2_000;
    static final long LEASE_MILLIS = 3_000;
    static final long LOAD_WINDOW_SECONDS = 5;
    static final double LOAD_WINDOW_FACTOR = 1.1;
    private static final int ASK_MILLIS = 1_000;

    /** Of this process alone, so that soaks that run side by side take no ports from each other. */
    static final String HOST = hostOf(ProcessHandle.current().pid());

    final String name;
    final int frontPort;
    private final Path folder;
    private final int readyPort;
    private final int peerPort;
    private final String logAddress;
    private PoplarProcess process;
    private int starts;

    SoakGateway(Path folder, String name, int firstPort, String logAddress) {
        this.folder = folder;
        this.name = name;
        this.logAddress = logAddress;
        frontPort = firstPort;
        readyPort = firstPort + 1;
        peerPort = firstPort + 2;
        writeSettings(DRAIN_MILLIS);
    }

    synchronized void start() {
        starts++;
        process = PoplarProcess.start(
                folder, lifetime().replace('/', '-'), List.of("gateway", "--boot", file().toString()));
    }

    /** Returns what tells this process from those before. */
    synchronized String lifetime() {
        return name + "/" + starts;
    }

    synchronized PoplarProcess process() {
        return process;
    }

    /** Tells whether the gateway counts itself as ready. */
    boolean ready() {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://" + HOST + ":" + readyPort + "/ready")
                    .toURL()
                    .openConnection();
            call.setConnectTimeout(ASK_MILLIS);
            call.setReadTimeout(ASK_MILLIS);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes other settings, of which a running process is told by a signal. */
    void changeSettings(long drainMillis) {
        writeSettings(drainMillis);
        process().signalReload();
    }

    private static String hostOf(long pid) {
        return "127." + (1 + (pid >> 16) % 250) + "." + (pid >> 8) % 256 + "." + pid % 256;
    }

    private Path file() {
        return folder.resolve(name + ".yaml");
    }

    private void writeSettings(long drainMillis) {
        String settings = "node: \"" + name + "\"\nzone: \"z1\"\nip: \"" + HOST + "\"\nlisten:\n  front: \"" + HOST
                + ":"
                + frontPort + "\"\n  ready: \"" + HOST + ":" + readyPort + "\"\nportRange: [" + peerPort + ", "
                + peerPort + "]\nheartbeatMs: " + SoakFleet.CHECK_IN_MILLIS + "\nplatform:\n  addr: \"" + logAddress
                + "\"\nbounds:\n  drainMs: " + drainMillis + "\n  graceS: " + GRACE_SECONDS + "\n  configMs: "
                + CONFIG_MILLIS + "\n  retryRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 50\n  leaseMs: "
                + LEASE_MILLIS + "\n  ceilingWindowS: " + LOAD_WINDOW_SECONDS + "\n  ceilingFactor: "
                + LOAD_WINDOW_FACTOR + "\n";
        try {
            Files.writeString(file(), settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
