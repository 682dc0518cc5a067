package org.poplarwharf.review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Lets the two servers of each service go down and up by turns: the first one falls silent and starts again under its id, with
 * the next version of its software; some seconds later the second one crashes and starts again. Checks the rule ORDER: no
 * more than two streams hold events of servers of two versions.
 */
public final class ReplacedServer {
    private static final int MACHINE_COUNT = 3;
    private static final List<String> SERVICES = List.of("lm1", "lm2", "lm3");
    private static final int REQUESTS_PER_SECOND = 5;
    private static final int EVENT_COUNT = 58;
    private static final int EVENT_MILLIS = 220;
    private static final int SLOTS = 50;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final long READY_MILLIS = 4_000;
    private static final long WARM_UP_MILLIS = 14_000;
    private static final long DARK_MILLIS = 2_000;
    private static final long UP_MILLIS = 2_600;
    private static final long DOWN_MILLIS = 1_500;
    private static final long AFTER_MILLIS = 10_000;
    private static final int MAX_MIXED_COUNT = 2;

    private final Queue<Caller> callers = new ConcurrentLinkedQueue<>();
    private final Random random = new Random();
    private volatile boolean stopped;

    private ReplacedServer() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        List<AutoCloseable> parts = new ArrayList<>();
        try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> OrderAfterCut.closeAll(parts)));
            exit = new ReplacedServer().play(trouble, Path.of(arguments[0]), parts, recorder);
            recorder.write("exit code %d", exit);
        } finally {
            OrderAfterCut.closeAll(parts);
        }
        System.exit(exit == 1 ? OrderAfterCut.BROKEN : exit);
    }

    private int play(boolean trouble, Path folder, List<AutoCloseable> parts, Recorder recorder) throws Exception {
        Store store = new Store();
        parts.add(store);
        store.put("op", "config", Plans.plan(SERVICES, 2, SLOTS));
        List<List<Engine>> engines = new ArrayList<>();
        for (String service : SERVICES) {
            List<Engine> ofService = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Engine engine = new Engine(
                        "i-" + service + "-" + i, service, "z1", SLOTS, EVENT_COUNT, EVENT_MILLIS, store, recorder);
                engine.place(List.of("m0", "m1"), List.of("m0"));
                engine.start("v1");
                ofService.add(engine);
                parts.add(engine);
            }
            engines.add(ofService);
        }
        String storeAddress = store.open(value -> value);
        List<Gateway> machines = new ArrayList<>();
        for (int i = 0; i < MACHINE_COUNT; i++) {
            Gateway machine = new Gateway(folder, "front-z1-" + (i + 1), "z1", storeAddress);
            parts.add(machine);
            machines.add(machine);
        }
        if (!Gateway.startAll(machines)) {
            recorder.write("the machines are not ready");
            return 2;
        }
        Threads.sleep(READY_MILLIS);
        SERVICES.forEach(service -> Threads.start(() -> sendAll(service, machines, recorder)));
        Threads.sleep(WARM_UP_MILLIS);
        if (trouble) {
            List<Thread> troubles = new ArrayList<>();
            engines.forEach(pair -> troubles.add(Threads.start(() -> byTurns(pair.get(0), pair.get(1)))));
            for (Thread one : troubles) {
                one.join();
            }
        }
        Threads.sleep(AFTER_MILLIS);
        stopped = true;
        Threads.sleep(1_000);
        long complete = callers.stream().filter(caller -> caller.complete).count();
        List<Caller> mixed =
                callers.stream().filter(caller -> caller.versionCount() > 1).toList();
        mixed.forEach(caller -> recorder.write(
                "stream %s holds events of the versions %s; attempts %s", caller.name, caller.versions, caller.attempts));
        recorder.write("%d streams, %d complete, %d of two versions", callers.size(), complete, mixed.size());
        if (complete == 0) {
            return 2;
        }
        recorder.write(mixed.size() > MAX_MIXED_COUNT ? "ORDER is broken" : "ORDER holds");
        return mixed.size() > MAX_MIXED_COUNT ? 1 : 0;
    }

    private static void byTurns(Engine first, Engine second) throws Exception {
        first.goDark();
        Threads.sleep(DARK_MILLIS);
        first.stop();
        first.start("v2");
        Threads.sleep(UP_MILLIS);
        second.stop();
        Threads.sleep(DOWN_MILLIS);
        second.start("v1");
    }

    private void sendAll(String service, List<Gateway> machines, Recorder recorder) throws InterruptedException {
        while (!stopped) {
            Caller caller = new Caller();
            callers.add(caller);
            Gateway machine = machines.get(random.nextInt(machines.size()));
            Threads.start(() -> caller.send(machine, "/" + service + "/x", "m0", DEADLINE_MILLIS, recorder));
            Thread.sleep(1_000 / REQUESTS_PER_SECOND);
        }
    }
}
