package org.poplarwharf.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Gateways as processes; a platform and targets that this process plays; a proxy on each way to them.
 *
 * <p>Links are named after their ends: {@code g0-log}, {@code any-t0}. Thread-safe.
 */
final class SoakFleet implements AutoCloseable {
    static final int GATEWAYS = 4;
    static final int MODELS = 8;
    static final int ADAPTERS = 2;
    static final int LOADS_PER_SECOND = 4;
    static final long CHECK_IN_MILLIS = 400;
    private static final int FIRST_PORT = 14_000;
    private static final int PORTS_EACH = 3;
    private static final int DESKS = 3;
    private static final int ENGINES = 4;

    /** The platform drops the entry of a target that has been silent for this long. */
    private static final long LAPSE_MILLIS = 3 * CHECK_IN_MILLIS;

    private static final long STATE_MILLIS = 100;

    /** Every third request for a model asks for an adapter as well. */
    private static final int ADAPTER_EVERY = 3;

    final FakePlatformLog platform = new FakePlatformLog();
    final Runs runs = new Runs();
    final FaultLog faults = new FaultLog();
    private final MonotonicClock clock = MonotonicClock.system();
    private final ReactorThread proxyThread = new ReactorThread();
    private final ProxyStandin proxy;
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final List<SoakTarget> targets = new ArrayList<>();
    private final Thread registrations;
    private volatile boolean closing;
    private int planVersion;

    SoakFleet(Path folder) throws IOException {
        List<ProxyStandin.LinkSpec> links = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            links.add(ProxyStandin.LinkSpec.loopback("g" + i + "-log", platform.address()));
        }
        for (int i = 0; i < DESKS + ENGINES; i++) {
            SoakTarget target = new SoakTarget("t" + i, i >= DESKS, runs, clock::nowMillis);
            targets.add(target);
            links.add(ProxyStandin.LinkSpec.loopback("any-t" + i, "127.0.0.1:" + target.server.port()));
        }
        proxy = proxyThread.call(() -> ProxyStandin.start(proxyThread.reactor(), StandinAddresses.loopback(), links));
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new SoakGateway(folder, "g" + i, FIRST_PORT + i * PORTS_EACH, address("g" + i + "-log")));
        }
        registrations = Thread.startVirtualThread(this::register);
    }

    /** Starts all gateways and waits until they are ready. */
    void start() {
        publish();
        gateways.forEach(SoakGateway::start);
        gateways.forEach(gateway -> Eventually.eventually(gateway.name + " is ready", gateway::ready));
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

    /** Returns the model of a request, now and then with an adapter; a few models get most requests. */
    String model(Random random) {
        int model = Math.min(random.nextInt(MODELS), random.nextInt(MODELS));
        boolean adapted = random.nextInt(ADAPTER_EVERY) == 0;
        return "m" + model + (adapted ? "/a" + (1 + random.nextInt(ADAPTERS)) : "");
    }

    void setLink(String link, LinkFaults faultsNow) {
        proxyThread.run(() -> proxy.setFaults(link, faultsNow));
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

    /** Publishes the next version of the configuration; each adds a route. */
    synchronized int publish() {
        planVersion++;
        platform.put("op", "config", plan(planVersion));
        return planVersion;
    }

    synchronized int planVersion() {
        return planVersion;
    }

    /** Returns the path of the route that a version added. */
    static String pathOf(int version) {
        return "/added-" + version + "/";
    }

    @Override
    public void close() throws IOException {
        closing = true;
        registrations.interrupt();
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

    private String address(String link) {
        return proxyThread.call(() -> proxy.address(link));
    }

    /** Writes the entries of the targets that live whenever they change, and drops those that have been silent. */
    private void register() {
        Map<String, String> written = new HashMap<>();
        Map<String, Long> seenMillis = new HashMap<>();
        try {
            while (!closing) {
                Thread.sleep(STATE_MILLIS);
                if (!platform.unavailable) {
                    targets.forEach(target -> register(target, written, seenMillis));
                    lapse(written, seenMillis);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(SoakTarget target, Map<String, String> written, Map<String, Long> seenMillis) {
        if (!target.alive) {
            return;
        }
        String id = target.server.id;
        String entry = target.entry(address("any-" + target.name));
        seenMillis.put(id, nowMillis());
        if (!entry.equals(written.put(id, entry))) {
            platform.put("servers", id, entry);
        }
    }

    private void lapse(Map<String, String> written, Map<String, Long> seenMillis) {
        seenMillis.entrySet().removeIf(seen -> {
            boolean gone = seen.getValue() + LAPSE_MILLIS < nowMillis();
            if (gone) {
                written.remove(seen.getKey());
                platform.remove("servers", seen.getKey());
            }
            return gone;
        });
    }

    private static String plan(int version) {
        String added = IntStream.rangeClosed(1, version)
                .mapToObj(each -> route("added-" + each, pathOf(each), "'kind':'safe'", "desk", CallKind.SAFE, 2))
                .collect(Collectors.joining(","));
        String models = IntStream.range(0, MODELS)
                .mapToObj(i -> "{'name':'m" + i + "','weightsMb':" + ModelEngine.MODEL_MB + ".0,'loadS':"
                        + ModelEngine.STORE_MILLIS / 1_000.0 + ",'warmS':" + ModelEngine.DISK_MILLIS / 1_000.0
                        + ",'diskS':" + ModelEngine.DISK_MILLIS / 1_000.0 + ",'adapters':" + ADAPTERS
                        + ",'adapterMb':" + ModelEngine.ADAPTER_MB + ".0}")
                .collect(Collectors.joining(","));
        return "{'version':" + version + ",'routes':["
                + route("safe", CallKind.SAFE.path, "'kind':'safe'", "desk", CallKind.SAFE, 2) + ","
                + route("once", CallKind.ONCE.path, "'kind':'unsafe'", "desk", CallKind.ONCE, 1) + ","
                + route("stream", CallKind.STREAM.path, "'kind':'streaming'", "lm", CallKind.STREAM, 1) + ","
                + route(
                        "resumable",
                        CallKind.RESUMABLE.path,
                        "'kind':'streaming','resumable':true",
                        "lm",
                        CallKind.RESUMABLE,
                        2)
                + "," + added
                + "],'services':[{'name':'desk','healthPath':'/health'},{'name':'lm','healthPath':'/health',"
                + "'engine':{'slots':" + ModelEngine.SLOTS + ",'kvCapacity':100000,'weightsMb':"
                + ModelEngine.WEIGHTS_MB
                + ".0,'adapterSlots':" + ModelEngine.ADAPTER_SLOTS + ",'loadsPerS':" + LOADS_PER_SECOND
                + ".0,'models':[" + models + "]}}]}";
    }

    private static String route(
            String name, String path, String kind, String service, CallKind limits, int maxAttempts) {
        return "{'name':'" + name + "','host':'127.0.0.1','pathPrefix':'" + path + "'," + kind
                + ",'timeoutMs':" + limits.timeoutMillis + ",'targetLatencyMs':500,'gapAimMs':400,'priority':0,"
                + "'service':'" + service + "','maxAttempts':" + maxAttempts + ",'sticky':" + limits.stream + "}";
    }
}
