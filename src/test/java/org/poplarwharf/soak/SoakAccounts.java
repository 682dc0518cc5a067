package org.poplarwharf.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.poplarwharf.support.ScriptedTarget;

/**
 * A client account that asks for many times its quota at all gateways, and one whose key every other version of the
 * configuration withdraws. All other callers use public routes.
 *
 * <p>Thread-safe.
 */
final class SoakAccounts {
    private static final String PATH = "/account/";
    private static final String HOT = "hot";
    private static final String CHANGING = "changing";
    private static final int PER_SECOND = 20;
    private static final int LOWERED_PER_SECOND = 5;
    private static final int BURST = 10;
    private static final long WINDOW_MILLIS = 8_000;
    private static final double EXCESS_RATIO = 0.1;
    private static final int PAUSE_MILLIS = 20;

    /** A gateway without faults goes by a version of the configuration within this time. */
    private static final long SETTLING_MILLIS = SoakGateway.CONFIG_MILLIS + 1_000;

    /** All gateways have recovered from faults, and go by the lowered quota, within this time. */
    private static final long LOWERED_MILLIS = 6_000;

    private final Queue<Published> published = new ConcurrentLinkedQueue<>();
    private final Queue<RecordedCall> calls = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopping;
    private volatile long loweredMillis = Long.MAX_VALUE;

    private record Published(long millis, boolean withdraws) {}

    /** Adds the accounts and their route to a version of the configuration that is published now. */
    String addTo(String config, int version, long nowMillis) {
        boolean withdraws = version % 2 == 1;
        published.add(new Published(nowMillis, withdraws));
        String route = "{'name':'account','host':'127.0.0.1','pathPrefix':'" + PATH + "','kind':'safe','timeoutMs':"
                + CallKind.SAFE.timeoutMillis
                + ",'targetLatencyMs':500,'priority':0,'service':'desk','maxAttempts':2},";
        int perSecond = loweredMillis == Long.MAX_VALUE ? PER_SECOND : LOWERED_PER_SECOND;
        return config.replace("'sticky':", "'public':true,'sticky':")
                .replace(
                        "'routes':[",
                        "'tenants':[{'name':'" + HOT + "','apiKeys':['key-" + HOT + "'],'ratePerS':" + perSecond
                                + ",'burst':" + BURST + "},{'name':'" + CHANGING + "','apiKeys':["
                                + (withdraws ? "" : "'key-" + CHANGING + "'") + "]}],'routes':[" + route);
    }

    /** Lowers the quota with the next version. */
    void lowerQuota(long nowMillis) {
        loweredMillis = nowMillis;
    }

    static boolean isCallerOf(String path) {
        return path.startsWith(PATH);
    }

    /** Checks what a target learns of the caller. */
    static void check(ScriptedTarget.Request request, TargetActivity activity) {
        boolean isAccounts = request.line().startsWith("POST " + PATH);
        String expected = isAccounts ? request.id().split("-")[0] : "";
        if (!request.header("Authorization").isEmpty()
                || !request.header("X-Tenant").equals(expected)) {
            activity.recordViolation("a target got a key or the name of another account: " + request.id());
        }
    }

    void start(SoakFleet fleet) {
        for (SoakGateway gateway : fleet.gateways()) {
            threads.add(Thread.startVirtualThread(() -> sendAll(fleet, gateway, HOT)));
            threads.add(Thread.startVirtualThread(() -> sendAll(fleet, gateway, CHANGING)));
        }
    }

    private void sendAll(SoakFleet fleet, SoakGateway gateway, String account) {
        int number = 0;
        while (!stopping) {
            try (SoakHttpConnection connection =
                    new SoakHttpConnection(gateway.incarnation(), gateway.frontPort, fleet::nowMillis)) {
                while (!stopping && connection.isReusable()) {
                    String id = account + "-" + gateway.name + "-" + number++;
                    String headers = "Authorization: Bearer key-" + account + "\r\nX-Tenant: forged\r\n";
                    calls.add(connection.sendForEvents(id, CallKind.SAFE, PATH + id, "", headers, Integer.MAX_VALUE));
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    List<RecordedCall> stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join();
        }
        return List.copyOf(calls);
    }

    /** Returns what was run beyond the quota, or with a key that had been withdrawn. */
    List<String> violations(TargetActivity activity, FaultTimeline faults) {
        var runs = activity.runsByRequestId();
        List<String> violations = new ArrayList<>();
        for (RecordedCall call : calls) {
            boolean isChecked = call.id().startsWith(CHANGING)
                    && runs.containsKey(call.id())
                    && isWithdrawnAt(call.sentMillis())
                    && faults.hasNoFaultOn(
                            call.sentMillis() - SETTLING_MILLIS, call.sentMillis(), call.gatewayName(), "log");
            if (isChecked) {
                violations.add("ran with a withdrawn key: " + call);
            }
        }
        List<Long> starts = runs.values().stream()
                .map(List::getFirst)
                .filter(run -> run.id().startsWith(HOT))
                .map(TargetActivity.Run::startMillis)
                .sorted()
                .toList();
        for (long fromMillis : starts) {
            long count = starts.stream()
                    .filter(millis -> millis >= fromMillis && millis < fromMillis + WINDOW_MILLIS)
                    .count();
            int perSecond = fromMillis >= loweredMillis + LOWERED_MILLIS ? LOWERED_PER_SECOND : PER_SECOND;
            double bound = (perSecond * WINDOW_MILLIS / 1_000.0 + BURST) * (1 + EXCESS_RATIO);
            if (count > bound) {
                violations.add(count + " requests of an account ran from " + fromMillis + ", bound " + bound);
            }
        }
        if (starts.isEmpty()) {
            violations.add("no request of an account ran");
        }
        return violations;
    }

    private boolean isWithdrawnAt(long millis) {
        boolean isWithdrawn = false;
        for (Published version : published) {
            if (version.millis() <= millis - SETTLING_MILLIS) {
                isWithdrawn = version.withdraws();
            } else if (version.millis() <= millis) {
                isWithdrawn &= version.withdraws();
            }
        }
        return isWithdrawn;
    }
}
