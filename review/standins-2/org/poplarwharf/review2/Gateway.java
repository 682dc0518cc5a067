package org.poplarwharf.review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A machine with one gateway process, started with the command of the deploy file. Thread-safe. */
final class Gateway implements AutoCloseable {
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    final String name;
    final String zone;
    final int frontPort;
    private final int readyPort;
    private final Path settings;
    private final Path output;
    private Process process;

    /** Writes the settings file of a machine. */
    Gateway(Path folder, String name, String zone, String storeAddress) throws IOException {
        this.name = name;
        this.zone = zone;
        frontPort = freePorts(1);
        readyPort = freePorts(1);
        int controlPort = freePorts(1);
        int peerPort = freePorts(2);
        settings = folder.resolve(name + ".yaml");
        output = folder.resolve(name + ".log");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node: \"" + name + "\"",
                        "role: \"gateway\"",
                        "machineClass: \"front\"",
                        "serves: [\"front\", \"control\"]",
                        "ip: \"127.0.0.1\"",
                        "zone: \"" + zone + "\"",
                        "region: \"r\"",
                        "listen:",
                        "  front: \"127.0.0.1:" + frontPort + "\"",
                        "  ready: \"127.0.0.1:" + readyPort + "\"",
                        "  control: \"127.0.0.1:" + controlPort + "\"",
                        "portRange: [" + peerPort + ", " + (peerPort + 1) + "]",
                        "seeds: []",
                        "bootstrap: true",
                        "limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}",
                        "dataDir: null",
                        "discovery: \"platform\"",
                        "entry: \"vip\"",
                        "heartbeatMs: 1200",
                        "contracts: [base, drain, config, cost, retry, recover, fleet, stream, engine, platform]",
                        "bounds: {seedLagS: 3, addrReuseS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4,"
                                + " drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250,"
                                + " outerMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 56, recoverS: 12,"
                                + " passMs: 120, retryAfterS: 0, requireFence: false, leaseMs: 3000, thawMs: 300,"
                                + " ceilingWindowS: 5, ceilingFactor: 1.1}",
                        "platform: {addr: \"" + storeAddress + "\", form: \"log\", writesPerS: 400, readsPerS: 2000,"
                                + " parts: 24, appendMs: 1.0, partMbS: 20.0, readMbS: 80.0, recordBytes: 262144,"
                                + " callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}",
                        ""));
    }

    /** Returns the first of some free ports in a row, below those that the system gives to outgoing channels. */
    static synchronized int freePorts(int count) throws IOException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            boolean free = true;
            for (int port = first; port < first + count; port++) {
                free &= !USED_PORTS.contains(port) && isFree(port);
            }
            if (free) {
                for (int port = first; port < first + count; port++) {
                    USED_PORTS.add(port);
                }
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts the process in the working folder, which is the root of the repository. */
    synchronized void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                command.addAll(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        command.add("--boot");
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("POPLARWHARF_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
    }

    synchronized Process process() {
        return process;
    }

    /** Returns whether the machine answers {@code GET /ready} with 200. */
    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + readyPort + "/ready").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process, as {@code SIGKILL} does, and waits for its end. */
    synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        kill();
    }

    /** Starts all machines and waits until each is ready; returns whether that happened in time. */
    static boolean startAll(List<Gateway> gateways) throws IOException {
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        return awaitReady(gateways);
    }

    static boolean awaitReady(List<Gateway> gateways) {
        long endNanos = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < endNanos) {
            if (gateways.stream().allMatch(Gateway::isReady)) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }
}
