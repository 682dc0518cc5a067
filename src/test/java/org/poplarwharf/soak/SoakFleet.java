package org.poplarwharf.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.ProxyStandin;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.FakePlatformLog;
import org.poplarwharf.support.ReactorThread;

/**
 * A fleet of gateway processes. The platform and the targets run in the test's process, behind a proxy with a link to each.
 *
 * <p>Links are named after both ends: {@code g0-log}, {@code any-t0}. Thread-safe.
 */
final class SoakFleet implements AutoCloseable {
    /** The fault of a target under one of the requests that crash it. */
    static final String CRASHED_BY_REQUEST = "CRASHED_BY_REQUEST";

    static final int GATEWAY_COUNT = 4;
    static final int MODEL_COUNT = 8;
    static final int ADAPTERS_PER_MODEL = 2;
    static final int LOADS_PER_SECOND = 4;
    static final long HEARTBEAT_MILLIS = 400;

    /** A run beside another one needs ports of its own. */
    private static final int FIRST_GATEWAY_PORT = Integer.getInteger("poplarwharf.soak.port", 14_000);

    private static final int PORTS_PER_GATEWAY = 4;
    private static final int PLAIN_TARGET_COUNT = 3;
    private static final int ENGINE_COUNT = 4;

    /** The platform removes the entry of a target without heartbeat for this long. */
    private static final long ENTRY_EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** How long a target is down after a request has crashed it. */
    private static final long CRASH_RESTART_MILLIS = 1_000;

    private static final int MAX_COPY_COUNT = 50;

    private static final int CONFIG_VARIANT_COUNT = 4;

    /** How long after a restore the operator and the targets write again what was lost. */
    private static final long REWRITE_DELAY_MILLIS = 400;

    private static final long REGISTRATION_INTERVAL_MILLIS = 100;

    /** One in this many requests for a model also names an adapter. */
    private static final int REQUESTS_PER_ADAPTER_REQUEST = 3;

    final FakePlatformLog platform = new FakePlatformLog();
    final TargetActivity activity = new TargetActivity();
    final FaultTimeline faultTimeline = new FaultTimeline();
    private final MonotonicClock clock = MonotonicClock.system();
    private final ReactorThread proxyThread = new ReactorThread();
    private final ProxyStandin proxy;
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final List<SoakTarget> targets = new ArrayList<>();
    private final Deque<FakePlatformLog.Copy> logCopies = new ArrayDeque<>();
    private final Thread registrationThread;
    private volatile boolean closing;

    /** Whether versions of the configuration also differ in a timeout, a weight and the limits for callers. */
    private final boolean variesConfig;

    /** The client accounts of the configuration, if it has any. */
    final Optional<SoakAccounts> accounts;

    private int configVersion;

    SoakFleet(Path directory) throws IOException {
        this(directory, false, Optional.empty());
    }

    SoakFleet(Path directory, boolean variesConfig, Optional<SoakAccounts> accounts) throws IOException {
        this.variesConfig = variesConfig;
        this.accounts = accounts;
        List<ProxyStandin.LinkSpec> links = new ArrayList<>();
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            links.add(ProxyStandin.LinkSpec.loopback("g" + i + "-log", platform.address()));
        }
        for (int i = 0; i < PLAIN_TARGET_COUNT + ENGINE_COUNT; i++) {
            SoakTarget target =
                    new SoakTarget("t" + i, i >= PLAIN_TARGET_COUNT, activity, clock::nowMillis, this::restartLater);
            if (accounts.isPresent()) {
                target.checkRequests(request -> SoakAccounts.check(request, activity));
            }
            targets.add(target);
            links.add(ProxyStandin.LinkSpec.loopback("any-t" + i, "127.0.0.1:" + target.server.port()));
        }
        proxy = proxyThread.call(() -> ProxyStandin.start(proxyThread.reactor(), StandinAddresses.loopback(), links));
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            gateways.add(new SoakGateway(
                    directory, "g" + i, FIRST_GATEWAY_PORT + i * PORTS_PER_GATEWAY, address("g" + i + "-log")));
        }
        registrationThread = Thread.startVirtualThread(this::register);
    }

    /** Starts all gateways and waits until each is ready. */
    void start() {
        publishConfig();
        gateways.forEach(SoakGateway::start);
        gateways.forEach(gateway -> Eventually.eventually(gateway.name + " is ready", gateway::isReady));
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    List<SoakGateway> gateways() {
        return gateways;
    }

    List<SoakTarget> targets() {
        return targets;
    }

    /** Returns a random model name, some with an adapter. Models with low numbers are more frequent. */
    String randomModel(Random random) {
        int model = Math.min(random.nextInt(MODEL_COUNT), random.nextInt(MODEL_COUNT));
        boolean hasAdapter = random.nextInt(REQUESTS_PER_ADAPTER_REQUEST) == 0;
        return "m" + model + (hasAdapter ? "/a" + (1 + random.nextInt(ADAPTERS_PER_MODEL)) : "");
    }

    void setLink(String link, LinkFaults faults) {
        proxyThread.run(() -> proxy.setFaults(link, faults));
    }

    void resetLink(String link) {
        proxyThread.run(() -> proxy.resetConnections(link));
    }

    void freezeLink(String link, boolean on) {
        proxyThread.run(() -> {
            if (on) {
                proxy.freezeConnections(link);
            } else {
                proxy.thawConnections(link);
            }
        });
    }

    /** Ends an outage of the log with a copy of about that age; its other writers write again a moment later. */
    void restoreLog(long ageMillis) {
        synchronized (logCopies) {
            long copyCount = Math.min(logCopies.size() - 1, ageMillis / REGISTRATION_INTERVAL_MILLIS);
            platform.restore(logCopies.stream().skip(copyCount).findFirst().orElseThrow());
            logCopies.clear();
        }
        platform.unavailable = false;
        Thread.startVirtualThread(() -> {
            try {
                Thread.sleep(REWRITE_DELAY_MILLIS);
                platform.rewriteLostRecords();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void copyLog() {
        synchronized (logCopies) {
            logCopies.addFirst(platform.copy());
            if (logCopies.size() > MAX_COPY_COUNT) {
                logCopies.removeLast();
            }
        }
    }

    /** Publishes the next version of the configuration, which adds a route, and returns its number. */
    synchronized int publishConfig() {
        configVersion++;
        String config = configJson(configVersion, variesConfig ? configVersion % CONFIG_VARIANT_COUNT : 0);
        platform.put(
                "op",
                "config",
                accounts.map(present -> present.addTo(config, configVersion, nowMillis()))
                        .orElse(config));
        return configVersion;
    }

    /** Publishes versions of the configuration, one after each interval, until the returned action is run. */
    Runnable publishConfigs(int intervalMillis) {
        Thread operator = Thread.startVirtualThread(() -> {
            try {
                while (true) {
                    publishConfig();
                    Thread.sleep(intervalMillis);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return operator::interrupt;
    }

    synchronized int configVersion() {
        return configVersion;
    }

    /** Returns the path prefix of the route that a configuration version adds. */
    static String addedRoutePath(int version) {
        return "/added-" + version + "/";
    }

    @Override
    public void close() throws IOException {
        closing = true;
        registrationThread.interrupt();
        for (SoakGateway gateway : gateways) {
            if (gateway.process() != null) {
                gateway.process().close();
            }
        }
        proxyThread.run(proxy::stop);
        proxyThread.close();
        platform.close();
        for (SoakTarget target : targets) {
            target.server.close();
        }
    }

    /** Restarts a target that a request has crashed, after a delay. */
    private void restartLater(SoakTarget target) {
        int startCount = target.startCount();
        FaultTimeline.InjectedFault fault =
                faultTimeline.recordStart(CRASHED_BY_REQUEST, target.name, false, nowMillis());
        System.out.println("soak: " + CRASHED_BY_REQUEST + " " + target.name + ", at " + nowMillis());
        Thread.startVirtualThread(() -> {
            try {
                Thread.sleep(CRASH_RESTART_MILLIS);
                target.restartAfterRequest(startCount);
                faultTimeline.recordEnd(fault, nowMillis());
            } catch (IOException | InterruptedException e) {
                activity.recordViolation("the test could not restart " + target.name + ": " + e);
            }
        });
    }

    private String address(String link) {
        return proxyThread.call(() -> proxy.address(link));
    }

    /** Writes the entries of live targets on change and removes those of targets without heartbeats, until closed. */
    private void register() {
        Map<String, String> written = new HashMap<>();
        Map<String, Long> lastSeenMillis = new HashMap<>();
        try {
            while (!closing) {
                Thread.sleep(REGISTRATION_INTERVAL_MILLIS);
                copyLog();
                if (!platform.unavailable) {
                    targets.forEach(target -> register(target, written, lastSeenMillis));
                    removeExpiredEntries(written, lastSeenMillis);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(SoakTarget target, Map<String, String> written, Map<String, Long> lastSeenMillis) {
        if (!target.alive) {
            return;
        }
        String id = target.server.id;
        String entry = target.registryEntry(address("any-" + target.name));
        lastSeenMillis.put(id, nowMillis());
        if (!entry.equals(written.put(id, entry))) {
            platform.put("servers", id, entry);
        }
    }

    private void removeExpiredEntries(Map<String, String> written, Map<String, Long> lastSeenMillis) {
        lastSeenMillis.entrySet().removeIf(seen -> {
            boolean isExpired = seen.getValue() + ENTRY_EXPIRY_MILLIS < nowMillis();
            if (isExpired) {
                written.remove(seen.getKey());
                platform.remove("servers", seen.getKey());
            }
            return isExpired;
        });
    }

    /** Returns a version of the configuration; variants other than zero change what no request of a caller exceeds. */
    private static String configJson(int version, int variant) {
        String limits = variant == 0
                ? ""
                : ",'limits':{'maxHeaderBytes':" + (16_384 + variant * 1_024) + ",'maxBodyBytes':"
                        + (1_048_576 - variant * 1_024) + ",'headerTimeoutMs':" + (5_000 + variant * 100)
                        + ",'idleTimeoutMs':" + (30_000 - variant * 1_000) + "}";
        String added = IntStream.rangeClosed(1, version)
                .mapToObj(each ->
                        routeJson("added-" + each, addedRoutePath(each), "'kind':'safe'", "desk", CallKind.SAFE, 2))
                .collect(Collectors.joining(","));
        String models = IntStream.range(0, MODEL_COUNT)
                .mapToObj(i -> "{'name':'m" + i + "','weightsMb':" + SoakEngine.MODEL_MB + ".0,'loadS':"
                        + SoakEngine.STORE_LOAD_MILLIS / 1_000.0 + ",'warmS':" + SoakEngine.DISK_LOAD_MILLIS / 1_000.0
                        + ",'diskS':" + SoakEngine.DISK_LOAD_MILLIS / 1_000.0 + ",'adapters':" + ADAPTERS_PER_MODEL
                        + ",'adapterMb':" + SoakEngine.ADAPTER_MB + ".0}")
                .collect(Collectors.joining(","));
        return "{'version':" + version + limits + ",'routes':["
                + (variant == 0 ? "" : unrelatedRouteJson(variant) + ",")
                + routeJson("safe", CallKind.SAFE.path, "'kind':'safe'", "desk", CallKind.SAFE, 2) + ","
                + routeJson("once", CallKind.ONCE.path, "'kind':'unsafe'", "desk", CallKind.ONCE, 1) + ","
                + routeJson("stream", CallKind.STREAM.path, "'kind':'streaming'", "lm", CallKind.STREAM, 1) + ","
                + routeJson(
                        "resumable",
                        CallKind.RESUMABLE.path,
                        "'kind':'streaming','resumable':true",
                        "lm",
                        CallKind.RESUMABLE,
                        2)
                + "," + added
                + "],'services':[{'name':'desk','healthPath':'/health'},{'name':'lm','healthPath':'/health',"
                + "'engine':{'slots':" + SoakEngine.SLOT_COUNT + ",'kvCapacity':100000,'weightsMb':"
                + SoakEngine.WEIGHTS_MB
                + ".0,'adapterSlots':" + SoakEngine.ADAPTER_SLOT_COUNT + ",'loadsPerS':" + LOADS_PER_SECOND
                + ".0,'models':[" + models + "]}}]}";
    }

    /** Returns a route that no caller uses; its timeout and the weights of its services differ between variants. */
    private static String unrelatedRouteJson(int variant) {
        return "{'name':'unrelated','host':'127.0.0.1','pathPrefix':'/unrelated/','kind':'safe','timeoutMs':"
                + (1_000 + variant * 500) + ",'trafficSplit':[{'service':'desk','weight':" + (1 + variant)
                + "},{'service':'lm','weight':1}]}";
    }

    private static String routeJson(
            String name, String path, String kind, String service, CallKind limits, int maxAttempts) {
        return "{'name':'" + name + "','host':'127.0.0.1','pathPrefix':'" + path + "'," + kind
                + ",'timeoutMs':" + limits.timeoutMillis + ",'targetLatencyMs':500,'gapAimMs':400,'priority':0,"
                + "'service':'" + service + "','maxAttempts':" + maxAttempts + ",'sticky':" + limits.streaming + "}";
    }
}
