package org.poplarwharf.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Cuts the machine that gives the orders from all servers for 8 s; the store, the clients and the other machines still
 * reach it. Checks the rule ONE at each server: no order with a lower epoch number after one with a higher number of
 * another machine, unless it arrives within thawMs after the path has healed.
 */
public final class OrderAfterCut {
    private static final int MACHINE_COUNT = 3;
    private static final int SERVER_COUNT = 2;
    private static final int MODEL_COUNT = 8;
    private static final long CUT_MILLIS = 8_000;
    private static final long THAW_MILLIS = 300;
    private static final long READY_MILLIS = 4_000;
    private static final long AFTER_MILLIS = 14_000;

    /** The exit code of a player if the rule was broken. */
    static final int BROKEN = 10;

    private OrderAfterCut() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[0]);
        int exit = 2;
        List<AutoCloseable> parts = new ArrayList<>();
        try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeAll(parts)));
            exit = play(trouble, folder, parts, recorder);
            recorder.write("exit code %d", exit);
        } finally {
            closeAll(parts);
        }
        // An uncaught exception ends with 1, so that a broken rule needs another code.
        System.exit(exit == 1 ? BROKEN : exit);
    }

    static void closeAll(List<AutoCloseable> parts) {
        for (AutoCloseable part : List.copyOf(parts)) {
            try {
                part.close();
            } catch (Exception e) {
                System.err.println("not closed: " + e);
            }
        }
    }

    private static int play(boolean trouble, Path folder, List<AutoCloseable> parts, Recorder recorder)
            throws Exception {
        Store store = new Store();
        parts.add(store);
        store.put("op", "config", Plans.plan(List.of("lm"), MODEL_COUNT));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            Engine engine = new Engine("i-" + (i + 1), "lm", "z1", Engine.SLOTS, 10, 60, store, recorder);
            engine.place(List.of("m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"), List.of("m0", "m" + (1 + i)));
            engine.start("v1");
            engines.add(engine);
            parts.add(engine);
        }
        List<Gateway> machines = new ArrayList<>();
        Map<Gateway, List<Link>> paths = new HashMap<>();
        for (int i = 0; i < MACHINE_COUNT; i++) {
            String name = "front-z1-" + (i + 1);
            Map<String, String> links = new HashMap<>();
            List<Link> own = new ArrayList<>();
            for (Engine engine : engines) {
                Link link = new Link(name + " to " + engine.id, engine.port(), recorder);
                parts.add(link);
                own.add(link);
                links.put("\"addr\":\"" + engine.address() + "\"", "\"addr\":\"" + link.address() + "\"");
            }
            String storeAddress = store.open(value -> {
                String seen = value;
                for (Map.Entry<String, String> link : links.entrySet()) {
                    seen = seen.replace(link.getKey(), link.getValue());
                }
                return seen;
            });
            Gateway machine = new Gateway(folder, name, "z1", storeAddress);
            parts.add(machine);
            machines.add(machine);
            paths.put(machine, own);
        }
        if (!Gateway.startAll(machines)) {
            recorder.write("the machines are not ready");
            return 2;
        }
        Threads.sleep(READY_MILLIS);
        AtomicInteger served = new AtomicInteger();
        AtomicLong stopMillis = new AtomicLong(Long.MAX_VALUE);
        // Usual traffic: each machine gets requests for models, some of which have to be loaded.
        for (int i = 0; i < MACHINE_COUNT; i++) {
            Gateway machine = machines.get(i);
            int first = i;
            Threads.start(() -> {
                for (int n = first; recorder.nowMillis() < stopMillis.get(); n++) {
                    int model = n % 3 == 0 ? (n / 3) % MODEL_COUNT : n % 2;
                    Threads.start(() -> {
                        if (new Caller().send(machine, "/lm/x", "m" + model, 13_000, recorder) == 200) {
                            served.incrementAndGet();
                        }
                    });
                    Thread.sleep(250);
                }
            });
        }
        String holder = awaitHolder(engines, recorder);
        Gateway leader = machines.stream()
                .filter(machine -> machine.name.equals(holder))
                .findFirst()
                .orElse(null);
        if (leader == null) {
            recorder.write("no machine has given an order");
            return 2;
        }
        Threads.sleep(6_000);
        recorder.write("the machine that gives the orders is %s", holder);
        long healedMillis = Long.MAX_VALUE;
        if (trouble) {
            for (Link link : paths.get(leader)) {
                link.cut();
            }
        }
        Threads.sleep(CUT_MILLIS);
        if (trouble) {
            paths.get(leader).forEach(Link::heal);
            healedMillis = recorder.nowMillis();
        }
        Threads.sleep(AFTER_MILLIS);
        stopMillis.set(0);
        Threads.sleep(500);
        recorder.write("%d requests were served", served.get());
        if (served.get() == 0) {
            return 2;
        }
        return check(engines, healedMillis, recorder) ? 0 : 1;
    }

    private static String awaitHolder(List<Engine> engines, Recorder recorder) {
        long endMillis = recorder.nowMillis() + 20_000;
        while (recorder.nowMillis() < endMillis) {
            for (Engine engine : engines) {
                synchronized (engine) {
                    if (!engine.orders.isEmpty()) {
                        return engine.orders.get(engine.orders.size() - 1).holder();
                    }
                }
            }
            Threads.sleep(50);
        }
        return "";
    }

    private static boolean check(List<Engine> engines, long healedMillis, Recorder recorder) {
        boolean held = true;
        for (Engine engine : engines) {
            List<Engine.Order> orders;
            synchronized (engine) {
                orders = List.copyOf(engine.orders);
            }
            Engine.Order highest = null;
            for (Engine.Order order : orders) {
                boolean excused = order.millis() >= healedMillis && order.millis() <= healedMillis + THAW_MILLIS;
                if (!excused
                        && highest != null
                        && order.fence() < highest.fence()
                        && !order.holder().equals(highest.holder())) {
                    held = false;
                    recorder.write(
                            "ONE is broken at %s: %s with epoch number %d of %s at %d, %d ms after the path healed;"
                                    + " epoch number %d of %s came at %d",
                            engine.id,
                            order.what().strip(),
                            order.fence(),
                            order.holder(),
                            order.millis(),
                            order.millis() - healedMillis,
                            highest.fence(),
                            highest.holder(),
                            highest.millis());
                }
                if (!excused && (highest == null || order.fence() > highest.fence())) {
                    highest = order;
                }
            }
        }
        if (held) {
            recorder.write("ONE holds");
        }
        return held;
    }
}
