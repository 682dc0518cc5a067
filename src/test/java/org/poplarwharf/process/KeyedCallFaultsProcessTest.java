package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.ServiceFaults;

/**
 * Sends calls with idempotency keys to two nodes while processes are paused, drained and killed, connections are reset and
 * the log loses or delays appends. The system properties {@code keyed.firstSeed}, {@code keyed.seeds} and {@code
 * keyed.millis} select longer runs. Time budget: 35 seconds.
 */
class KeyedCallFaultsProcessTest {
    private static final List<String> NODES = List.of("n1", "n2");
    private static final int CALLER_COUNT = 24;
    private static final long SETTLE_MILLIS = 3_000;
    private static final List<Integer> FAULT_MILLIS = List.of(150, 700, 1_500, 2_500, 4_500);
    private static final List<String> NODE_OPTIONS = List.of(
            "--lease",
            "2s",
            "--renew",
            "500ms",
            "--drift",
            "100ms",
            "--engine-report",
            "200ms",
            "--drain",
            "4s",
            "--drain-notice",
            "500ms");

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path folder;

    private enum Kind {
        NODE_PAUSED,
        NODE_DRAINED,
        NODE_KILLED,
        NODE_LOG_HELD,
        NODE_LOG_SILENT,
        PEERS_RESET,
        PEERS_SILENT,
        LOG_PAUSED,
        LOG_LOSES_RESPONSES,
        LOG_SLOW,
        SERVICE_PAUSED,
        SERVICE_REFUSES,
        SERVICE_RESET,
        SERVICE_SLOW,
        SERVICE_FAILS
    }

    /** An active fault and the time at which it ends. */
    private record Fault(String component, long endMillis, Runnable undo) {}

    private final MonotonicClock clock = MonotonicClock.system();
    private final List<String> faultLog = new ArrayList<>();

    static LongStream seeds() {
        long first = Long.getLong("keyed.firstSeed", 1);
        return LongStream.range(first, first + Long.getLong("keyed.seeds", 1));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void call_that_is_refused_as_not_run_does_not_run_and_no_key_runs_twice(long seed) {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(2, 1).withNodeOptions(NODE_OPTIONS))) {
            List<KeyedCaller.Send> sends = callDuringFaults(fleet, seed);
            Map<String, List<Long>> runs = runTimesByKey(fleet);

            System.out.printf(
                    "seed %d: %d requests, %d keys run, %d faults, responses %s%n",
                    seed, sends.size(), runs.size(), faultLog.size(), countByResponse(sends));
            assertThat(violations(sends, runs))
                    .describedAs("seed %d, faults %s", seed, faultLog)
                    .isEmpty();
        }
    }

    private List<KeyedCaller.Send> callDuringFaults(Fleet fleet, long seed) {
        AtomicBoolean ended = new AtomicBoolean();
        List<KeyedCaller> callers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            KeyedCaller caller = new KeyedCaller(i, fleet.addresses(), seed, ended::get);
            callers.add(caller);
            threads.add(Thread.ofVirtual().start(caller));
        }
        injectFaults(fleet.cluster(), new Random(seed), clock.nowMillis() + Long.getLong("keyed.millis", 16_000));
        ended.set(true);
        threads.forEach(KeyedCallFaultsProcessTest::join);
        FixedRateTraffic.sleepMillis(SETTLE_MILLIS);
        return callers.stream().flatMap(caller -> caller.sends().stream()).toList();
    }

    private void injectFaults(Cluster cluster, Random random, long endMillis) {
        List<Fault> active = new ArrayList<>();
        while (clock.nowMillis() < endMillis) {
            FixedRateTraffic.sleepMillis(200 + random.nextInt(700));
            endFaults(active, clock.nowMillis());
            injectNext(cluster, random, active).ifPresent(active::add);
        }
        endFaults(active, Long.MAX_VALUE);
    }

    private void endFaults(List<Fault> active, long nowMillis) {
        for (Fault fault : List.copyOf(active)) {
            if (fault.endMillis() <= nowMillis) {
                fault.undo().run();
                active.remove(fault);
            }
        }
    }

    private Optional<Fault> injectNext(Cluster cluster, Random random, List<Fault> active) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String node = NODES.get(random.nextInt(NODES.size()));
        int millis = FAULT_MILLIS.get(random.nextInt(FAULT_MILLIS.size()));
        boolean variant = random.nextBoolean();
        String component = switch (kind) {
            case NODE_PAUSED, NODE_DRAINED, NODE_KILLED -> node;
            case NODE_LOG_HELD, NODE_LOG_SILENT -> node + "-log";
            case PEERS_RESET, PEERS_SILENT -> "peers";
            case LOG_PAUSED, LOG_LOSES_RESPONSES, LOG_SLOW -> "log";
            case SERVICE_PAUSED, SERVICE_SLOW, SERVICE_FAILS -> "service";
            case SERVICE_REFUSES, SERVICE_RESET -> "any-service";
        };
        boolean stopsNode = kind == Kind.NODE_DRAINED || kind == Kind.NODE_KILLED;
        if (active.stream()
                .anyMatch(fault ->
                        fault.component().equals(component) || (stopsNode && NODES.contains(fault.component())))) {
            return Optional.empty();
        }
        faultLog.add(clock.nowMillis() + " " + kind + " " + component + " " + millis);
        return Optional.of(new Fault(component, clock.nowMillis() + millis, inject(cluster, kind, node, variant)));
    }

    private static Runnable inject(Cluster cluster, Kind kind, String node, boolean variant) {
        return switch (kind) {
            case NODE_PAUSED -> pause(cluster, node);
            case NODE_DRAINED -> {
                if (!variant) {
                    cluster.process(node).terminate();
                    yield () -> restart(cluster, node);
                }
                requestDrain(cluster, node);
                yield () -> {
                    cluster.process(node).terminate();
                    restart(cluster, node);
                };
            }
            case NODE_KILLED -> {
                cluster.process(node).kill();
                yield () -> restart(cluster, node);
            }
            case NODE_LOG_HELD ->
                setLink(
                        cluster,
                        node,
                        "log",
                        new LinkFaults(false, new LinkFaults.Direction(false, true, 0), LinkFaults.Direction.none()));
            case NODE_LOG_SILENT -> setLink(cluster, node, "log", LinkFaults.silent());
            case PEERS_RESET -> {
                forEachPeerLink(cluster::resetLink);
                yield () -> {};
            }
            case PEERS_SILENT -> {
                forEachPeerLink((from, to) -> cluster.setLink(from, to, LinkFaults.silent()));
                yield () -> forEachPeerLink((from, to) -> cluster.setLink(from, to, LinkFaults.none()));
            }
            case LOG_PAUSED -> pause(cluster, "log");
            case LOG_LOSES_RESPONSES ->
                setFaults(cluster, "log", new LogFaults(false, false, 0, 0, 0.4, variant), LogFaults.none());
            case LOG_SLOW -> setFaults(cluster, "log", new LogFaults(false, false, 700, 0, 0, false), LogFaults.none());
            case SERVICE_PAUSED -> pause(cluster, "service");
            case SERVICE_SLOW -> setFaults(cluster, "service", ServiceFaults.none(500), ServiceFaults.none(0));
            case SERVICE_FAILS ->
                setFaults(cluster, "service", new ServiceFaults(0, 503, false, 0, 0), ServiceFaults.none(0));
            case SERVICE_REFUSES -> setLink(cluster, "any", "service", LinkFaults.refusing());
            case SERVICE_RESET -> {
                cluster.resetLink("any", "service");
                yield () -> {};
            }
        };
    }

    private static Runnable pause(Cluster cluster, String process) {
        cluster.process(process).pause();
        return () -> cluster.process(process).resume();
    }

    private static void requestDrain(Cluster cluster, String node) {
        String url = "http://" + cluster.process(node).awaitListening().admin() + "/drain";
        cluster.http()
                .send(HttpRequest.post(url)
                        .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                        .build());
    }

    private static void restart(Cluster cluster, String node) {
        cluster.process(node).awaitExit();
        cluster.startNode(node);
    }

    private static Runnable setLink(Cluster cluster, String from, String to, LinkFaults faults) {
        cluster.setLink(from, to, faults);
        return () -> cluster.setLink(from, to, LinkFaults.none());
    }

    private static Runnable setFaults(Cluster cluster, String process, Object faults, Object none) {
        cluster.setFaults(process, faults);
        return () -> cluster.setFaults(process, none);
    }

    private static void forEachPeerLink(BiConsumer<String, String> action) {
        action.accept("any", "n1");
        action.accept("any", "n2");
        action.accept("n1", "n2");
        action.accept("n2", "n1");
    }

    private static Map<String, List<Long>> runTimesByKey(Fleet fleet) {
        Map<String, List<Long>> runs = new TreeMap<>();
        fleet.cluster()
                .serviceJournal()
                .forEach(entry -> runs.computeIfAbsent(
                                entry.event().idempotencyKey().orElseThrow(), key -> new ArrayList<>())
                        .add(entry.atMillis()));
        return runs;
    }

    private static List<String> violations(List<KeyedCaller.Send> sends, Map<String, List<Long>> runs) {
        List<String> violations = new ArrayList<>();
        runs.forEach((key, times) -> {
            if (times.size() > 1) {
                violations.add("ran twice: " + key + " at " + times);
            }
        });
        Map<String, List<KeyedCaller.Send>> byKey =
                sends.stream().collect(Collectors.groupingBy(KeyedCaller.Send::key));
        byKey.forEach((key, ofKey) -> addRunsDespiteRefusal(ofKey, runs.getOrDefault(key, List.of()), violations));
        return violations;
    }

    /** A run of a key belongs to one of the requests before it. It can't be told which one, once one of them may have run. */
    private static void addRunsDespiteRefusal(
            List<KeyedCaller.Send> ofKey, List<Long> runTimes, List<String> violations) {
        for (int i = 0; i < ofKey.size() && ofKey.get(i).promisesNotRun(); i++) {
            long nextSentMillis = i + 1 < ofKey.size() ? ofKey.get(i + 1).sentAtMillis() : Long.MAX_VALUE;
            if (runTimes.stream().anyMatch(run -> run < nextSentMillis)) {
                violations.add("ran despite refusal: run at " + runTimes + " of " + ofKey);
                return;
            }
        }
    }

    private static Map<String, Integer> countByResponse(List<KeyedCaller.Send> sends) {
        Map<String, Integer> counts = new TreeMap<>();
        sends.forEach(sent -> counts.merge(sent.status() + " " + sent.code() + " " + sent.ran(), 1, Integer::sum));
        return counts;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
