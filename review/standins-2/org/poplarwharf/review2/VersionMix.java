package org.poplarwharf.review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Releases software: of each service with two servers, one after the other drains, ends and starts again under its id with
 * the next version. Soon after the first one serves again, channels of clients at two machines of six are reset, and the
 * clients take up their streams at other machines. Checks the rule ORDER: no more than two streams hold events of servers
 * of two versions.
 */
public final class VersionMix {
    private static final int MACHINE_COUNT = 6;
    private static final List<String> SERVICES = List.of("lm1", "lm2", "lm3", "lm4", "lm5");
    private static final int REQUESTS_PER_SECOND = 90;
    private static final int EVENT_COUNT = 10;
    private static final int EVENT_MILLIS = 150;
    private static final int DEADLINE_MILLIS = 13_000;
    /** drainMs and a little longer. */
    private static final long DRAIN_MILLIS = 2_800;

    private static final long DOWN_MILLIS = 500;
    /** Longer than the system takes a stream for one that may be resumed. */
    private static final long CALM_MILLIS = 31_000;

    private static final long WARM_UP_MILLIS = 1_000;
    /** Releases begin at any moment between two of the machines' reads of the servers' entries. */
    private static final int MAX_DELAY_MILLIS = 1_400;

    private static final long START_INTERVAL_MILLIS = 230;
    private static final long RESET_AFTER_MILLIS = 100;
    private static final int RESET_MACHINE_COUNT = 2;
    private static final double RESET_RATIO = 0.55;
    private static final int ROUND_COUNT = 2;
    private static final int MAX_MIXED_COUNT = 2;

    private VersionMix() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        List<AutoCloseable> parts = new ArrayList<>();
        try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> OrderAfterCut.closeAll(parts)));
            exit = new VersionMix().play(trouble, Path.of(arguments[0]), parts, recorder);
            recorder.write("exit code %d", exit);
        } finally {
            OrderAfterCut.closeAll(parts);
        }
        System.exit(exit == 1 ? OrderAfterCut.BROKEN : exit);
    }

    private final Queue<Caller> callers = new ConcurrentLinkedQueue<>();
    private final List<Gateway> machines = new ArrayList<>();
    private final Random random = new Random();
    private volatile String busyService = "";

    private int play(boolean trouble, Path folder, List<AutoCloseable> parts, Recorder recorder) throws Exception {
        Store store = new Store();
        parts.add(store);
        store.put("op", "config", Plans.plan(SERVICES, 2));
        List<Engine> engines = new ArrayList<>();
        for (String service : SERVICES) {
            for (int i = 1; i <= 2; i++) {
                Engine engine = new Engine(
                        "i-" + service + "-" + i,
                        service,
                        "z1",
                        Engine.SLOTS,
                        EVENT_COUNT,
                        EVENT_MILLIS,
                        store,
                        recorder);
                engine.place(List.of("m0", "m1"), List.of("m0"));
                engine.start("v1");
                engines.add(engine);
                parts.add(engine);
            }
        }
        String storeAddress = store.open(value -> value);
        for (int i = 0; i < MACHINE_COUNT; i++) {
            Gateway machine = new Gateway(folder, "front-z1-" + (i + 1), "z1", storeAddress);
            parts.add(machine);
            machines.add(machine);
        }
        // The machines have been stopped and started in turn.
        for (Gateway machine : machines) {
            machine.start();
            Threads.sleep(START_INTERVAL_MILLIS);
        }
        if (!Gateway.awaitReady(machines)) {
            recorder.write("the machines are not ready");
            return 2;
        }
        long roundMillis = recorder.nowMillis() + CALM_MILLIS;
        for (int round = 1; round <= ROUND_COUNT; round++) {
            Threads.sleep(roundMillis - recorder.nowMillis());
            for (int i = 0; i < SERVICES.size(); i++) {
                release(SERVICES.get(i), engines.get(2 * i), engines.get(2 * i + 1), "v" + (round + 1), trouble, recorder);
                if (i == 0) {
                    // The second server ends DRAIN_MILLIS from now; the first one, as long after the warm-up.
                    roundMillis = recorder.nowMillis() + CALM_MILLIS - WARM_UP_MILLIS;
                }
            }
        }
        Threads.sleep(3_500);
        long complete = callers.stream().filter(caller -> caller.complete).count();
        List<Caller> mixed = callers.stream()
                .filter(caller -> caller.versionCount() > 1)
                .toList();
        mixed.forEach(caller -> recorder.write(
                "stream %s holds events of the versions %s; attempts %s", caller.name, caller.versions, caller.attempts));
        recorder.write("%d streams, %d complete, %d of two versions", callers.size(), complete, mixed.size());
        if (complete == 0) {
            return 2;
        }
        recorder.write(mixed.size() > MAX_MIXED_COUNT ? "ORDER is broken" : "ORDER holds");
        return mixed.size() > MAX_MIXED_COUNT ? 1 : 0;
    }

    private void release(
            String service, Engine first, Engine second, String version, boolean trouble, Recorder recorder)
            throws Exception {
        busyService = service;
        Threads.start(() -> sendAll(service, recorder));
        Threads.sleep(WARM_UP_MILLIS + random.nextInt(MAX_DELAY_MILLIS));
        restart(first, version);
        long endMillis = recorder.nowMillis() + 5_000;
        while (recorder.nowMillis() < endMillis && countOf(version, null) == 0) {
            Threads.sleep(10);
        }
        Threads.sleep(RESET_AFTER_MILLIS);
        if (trouble) {
            machines.stream()
                    .sorted(Comparator.comparingLong((Gateway machine) -> -countOf(version, machine)))
                    .limit(RESET_MACHINE_COUNT)
                    .toList()
                    .forEach(machine -> resetSome(machine, recorder));
        }
        Threads.sleep(600);
        busyService = "";
        Threads.start(() -> restart(second, version));
    }

    private static void restart(Engine engine, String version) throws Exception {
        engine.drain();
        Threads.sleep(DRAIN_MILLIS);
        engine.stop();
        Threads.sleep(DOWN_MILLIS);
        engine.start(version);
    }

    private void resetSome(Gateway machine, Recorder recorder) {
        List<Caller> there = callers.stream()
                .filter(caller -> !caller.complete && caller.gateway == machine)
                .toList();
        int count = (int) (there.size() * RESET_RATIO);
        recorder.write("%d of %d channels of clients at %s are reset", count, there.size(), machine.name);
        there.stream().skip(there.size() - count).forEach(Caller::reset);
    }

    /** Returns how many streams under way, at a machine or at all, hold events of the version. */
    private long countOf(String version, Gateway machine) {
        return callers.stream()
                .filter(caller -> !caller.complete && (machine == null || caller.gateway == machine))
                .filter(caller -> caller.service.equals(busyService) && caller.hasVersion(version))
                .count();
    }

    private void sendAll(String service, Recorder recorder) {
        while (busyService.equals(service)) {
            Threads.start(() -> call(service, recorder));
            Threads.sleep(1_000 / REQUESTS_PER_SECOND);
        }
    }

    /** Sends a request, and takes its stream up once at another machine if its channel breaks. */
    private void call(String service, Recorder recorder) {
        Caller caller = new Caller();
        caller.service = service;
        callers.add(caller);
        Gateway first = machines.get(random.nextInt(machines.size()));
        int status = caller.send(first, "/" + service + "/x", "m0", DEADLINE_MILLIS, recorder);
        if (status == 0 && caller.lastEventId > 0) {
            Gateway second = first;
            while (second == first) {
                second = machines.get(random.nextInt(machines.size()));
            }
            caller.send(second, "/" + service + "/x", "m0", DEADLINE_MILLIS, recorder);
        }
    }
}
