package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.poplarwharf.internal.standin.LinkFaults;

/**
 * Draws faults for a fleet by a seed; each begins now and tells how it ends.
 *
 * <p>Invariants: the sequence of kinds and victims depends on the seed alone, as far as its victims are free; two faults at
 * one time never strike the same part. For one thread.
 */
final class SoakFaults {
    private static final long SLOW_LOG_MILLIS = 800;
    private static final double LOST_ANSWERS = 0.4;
    private static final long LATE_APPEND_MILLIS = 2_000;
    private static final long LINK_DELAY_MILLIS = 150;
    private static final int SLOW_ENGINE = 8;

    /** Longer than a lease's term. */
    private static final long LONG_PAUSE_MILLIS = 9_000;

    /** A process that was asked to end is killed after its grace. */
    private static final long END_MILLIS = SoakGateway.GRACE_SECONDS * 1_000 + 500;

    private final SoakFleet fleet;
    private final Random random;
    private final Set<String> busy = new HashSet<>();
    private final List<Running> running = new ArrayList<>();

    /** What a fault strikes; two at one time never strike the same. */
    private enum Part {
        GATEWAY,
        ALL_GATEWAYS,
        LOG,
        PLAN,
        STRANGE_ENTRY,
        TARGET
    }

    private enum Kind {
        GATEWAY_KILLED(Part.GATEWAY),
        GATEWAY_TERMINATED(Part.GATEWAY),
        GATEWAY_PAUSED(Part.GATEWAY),
        GATEWAY_PAUSED_LONG(Part.GATEWAY),
        GATEWAY_CUT_FROM_LOG(Part.GATEWAY),
        GATEWAY_REFUSED_BY_LOG(Part.GATEWAY),
        GATEWAY_CUT_ONE_WAY(Part.GATEWAY),
        SETTINGS_CHANGED(Part.GATEWAY),
        POWER_LOST(Part.ALL_GATEWAYS),
        LOG_AWAY(Part.LOG),
        LOG_SLOW(Part.LOG),
        LOG_LOSES_ANSWERS(Part.LOG),
        LOG_LATE(Part.LOG),
        LOG_FORGETS(Part.LOG),
        PLAN_CHANGED(Part.PLAN),
        STRANGE_ENTRY(Part.STRANGE_ENTRY),
        TARGET_CRASHES(Part.TARGET),
        TARGET_LEAVES(Part.TARGET),
        TARGET_BREAKS_OFF(Part.TARGET),
        TARGET_REFUSES(Part.TARGET),
        TARGET_SLOW(Part.TARGET),
        TARGET_LINK_SILENT(Part.TARGET),
        TARGET_LINK_ONE_WAY(Part.TARGET),
        TARGET_LINK_FROZEN(Part.TARGET),
        TARGET_LINK_SLOW(Part.TARGET),
        TARGET_LINK_RESET(Part.TARGET),
        ORDERS_LATE(Part.TARGET);

        private final Part part;

        Kind(Part part) {
            this.part = part;
        }
    }

    private record Running(FaultLog.Struck struck, long dueMillis, Runnable end) {}

    SoakFaults(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    int millisBetween(int least, int most) {
        return least + random.nextInt(most - least);
    }

    int underWay() {
        return running.size();
    }

    /** Begins the next fault, unless its victim is struck already. */
    void strike(int leastMillis, int mostMillis) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        SoakGateway gateway = fleet.gateways().get(random.nextInt(SoakFleet.GATEWAYS));
        SoakTarget target = fleet.targets().get(random.nextInt(fleet.targets().size()));
        long drawnMillis = millisBetween(leastMillis, mostMillis);
        long lasts = switch (kind) {
            case GATEWAY_PAUSED_LONG -> LONG_PAUSE_MILLIS;
            case GATEWAY_TERMINATED -> END_MILLIS;
            default -> drawnMillis;
        };
        Set<String> parts = parts(kind, gateway, target);
        if (parts.stream().anyMatch(busy::contains)) {
            return;
        }
        busy.addAll(parts);
        String part = parts.iterator().next();
        System.out.println("soak: " + kind + " " + part + " for " + lasts + " ms, at " + fleet.nowMillis());
        boolean planned = kind == Kind.SETTINGS_CHANGED || kind == Kind.PLAN_CHANGED || kind == Kind.GATEWAY_TERMINATED;
        List<FaultLog.Struck> struck = new ArrayList<>();
        for (String each : parts) {
            struck.add(fleet.faults.begun(kind.name(), each, planned, fleet.nowMillis()));
        }
        Optional<Runnable> end = begin(kind, gateway, target);
        long dueMillis = fleet.nowMillis() + (end.isPresent() ? lasts : 0);
        for (FaultLog.Struck one : struck) {
            boolean first = one == struck.get(0);
            running.add(new Running(one, dueMillis, first ? end.orElse(() -> {}) : () -> {}));
        }
    }

    /** Ends the faults that are due. */
    void endDue() {
        end(fleet.nowMillis());
    }

    /** Ends all faults; a process that was asked to end keeps its grace. */
    void endAll() throws InterruptedException {
        for (Running one : List.copyOf(running)) {
            if (one.struck().what.equals(Kind.GATEWAY_TERMINATED.name())) {
                Thread.sleep(Math.max(0, one.dueMillis() - fleet.nowMillis()));
            }
        }
        end(Long.MAX_VALUE);
    }

    private void end(long dueMillis) {
        List<Running> due =
                running.stream().filter(one -> one.dueMillis() <= dueMillis).toList();
        for (Running one : due) {
            one.end().run();
            fleet.faults.ended(one.struck(), fleet.nowMillis());
            busy.remove(one.struck().part);
            running.remove(one);
        }
    }

    private Set<String> parts(Kind kind, SoakGateway gateway, SoakTarget target) {
        return switch (kind.part) {
            case GATEWAY -> Set.of(gateway.name);
            case ALL_GATEWAYS -> {
                Set<String> all = new HashSet<>();
                fleet.gateways().forEach(each -> all.add(each.name));
                yield all;
            }
            case LOG -> Set.of("log");
            case PLAN -> Set.of("plan");
            case STRANGE_ENTRY -> Set.of("strange");
            case TARGET -> Set.of(target.name);
        };
    }

    /** Begins a fault and returns its end; empty where it is over at once. */
    private Optional<Runnable> begin(Kind kind, SoakGateway gateway, SoakTarget target) {
        return switch (kind) {
            case GATEWAY_KILLED -> killed(List.of(gateway));
            case POWER_LOST -> killed(fleet.gateways());
            case GATEWAY_TERMINATED -> terminated(gateway);
            case GATEWAY_PAUSED, GATEWAY_PAUSED_LONG -> paused(gateway);
            case GATEWAY_CUT_FROM_LOG -> link(gateway.name + "-log", LinkFaults.silent());
            case GATEWAY_REFUSED_BY_LOG -> refusing(gateway.name + "-log");
            case GATEWAY_CUT_ONE_WAY -> link(gateway.name + "-log", oneWay());
            case SETTINGS_CHANGED -> {
                gateway.changeSettings(SoakGateway.DRAIN_MILLIS + random.nextInt(2));
                yield Optional.empty();
            }
            case LOG_AWAY, LOG_SLOW, LOG_LOSES_ANSWERS, LOG_LATE, LOG_FORGETS -> log(kind);
            case PLAN_CHANGED -> {
                fleet.publish();
                yield Optional.empty();
            }
            case STRANGE_ENTRY -> strangeEntry();
            case TARGET_CRASHES -> crashes(target);
            case TARGET_LEAVES -> leaves(target);
            case TARGET_BREAKS_OFF, TARGET_REFUSES, TARGET_SLOW, ORDERS_LATE -> behaviour(kind, target);
            case TARGET_LINK_SILENT -> link("any-" + target.name, LinkFaults.silent());
            case TARGET_LINK_ONE_WAY -> link("any-" + target.name, oneWay());
            case TARGET_LINK_SLOW -> link("any-" + target.name, LinkFaults.delayed(LINK_DELAY_MILLIS));
            case TARGET_LINK_FROZEN -> {
                fleet.freezeLink("any-" + target.name, true);
                yield Optional.of(() -> fleet.freezeLink("any-" + target.name, false));
            }
            case TARGET_LINK_RESET -> {
                fleet.resetLink("any-" + target.name);
                yield Optional.empty();
            }
        };
    }

    private LinkFaults oneWay() {
        return random.nextBoolean() ? LinkFaults.silentToClient() : LinkFaults.silentToUpstream();
    }

    private Optional<Runnable> killed(List<SoakGateway> gateways) {
        gateways.forEach(gateway -> gateway.process().kill());
        return Optional.of(() -> gateways.forEach(SoakGateway::start));
    }

    private Optional<Runnable> terminated(SoakGateway gateway) {
        gateway.process().terminate();
        return Optional.of(() -> {
            if (gateway.process().isAlive()) {
                fleet.runs.breach(gateway.lifetime() + " did not end within its grace");
                gateway.process().kill();
            }
            gateway.start();
        });
    }

    private Optional<Runnable> paused(SoakGateway gateway) {
        gateway.process().pause();
        return Optional.of(() -> gateway.process().resume());
    }

    private Optional<Runnable> link(String link, LinkFaults faults) {
        fleet.setLink(link, faults);
        return Optional.of(() -> fleet.setLink(link, LinkFaults.none()));
    }

    private Optional<Runnable> refusing(String link) {
        fleet.setLink(link, LinkFaults.refusing());
        fleet.resetLink(link);
        return Optional.of(() -> fleet.setLink(link, LinkFaults.none()));
    }

    private Optional<Runnable> log(Kind kind) {
        switch (kind) {
            case LOG_AWAY -> fleet.platform.unavailable = true;
            case LOG_SLOW -> fleet.platform.responseDelayMillis = SLOW_LOG_MILLIS;
            case LOG_LOSES_ANSWERS -> fleet.platform.lostResponseRatio = LOST_ANSWERS;
            case LOG_LATE -> fleet.platform.lateAppendMillis = LATE_APPEND_MILLIS;
            default -> fleet.platform.truncateHistory();
        }
        return Optional.of(() -> {
            fleet.platform.unavailable = false;
            fleet.platform.responseDelayMillis = 0;
            fleet.platform.lostResponseRatio = 0;
            fleet.platform.lateAppendMillis = 0;
        });
    }

    private Optional<Runnable> strangeEntry() {
        String[] entries = {
            "not json", "{'service':'desk','addr':7}", "{'service':'none','addr':'127.0.0.1:1','state':'resting'}", "[]"
        };
        fleet.platform.put("servers", "x-1", entries[random.nextInt(entries.length)]);
        return Optional.of(() -> fleet.platform.remove("servers", "x-1"));
    }

    private Optional<Runnable> crashes(SoakTarget target) {
        String link = "any-" + target.name;
        fleet.setLink(link, LinkFaults.refusing());
        target.crash();
        fleet.resetLink(link);
        return Optional.of(() -> {
            target.restart();
            fleet.setLink(link, LinkFaults.none());
        });
    }

    /** Announces that a target leaves; it is replaced under another id at the same address. */
    private Optional<Runnable> leaves(SoakTarget target) {
        target.leaving = true;
        return Optional.of(() -> {
            fleet.resetLink("any-" + target.name);
            target.replace();
        });
    }

    private Optional<Runnable> behaviour(Kind kind, SoakTarget target) {
        behave(kind, target, true);
        return Optional.of(() -> behave(kind, target, false));
    }

    private static void behave(Kind kind, SoakTarget target, boolean on) {
        switch (kind) {
            case TARGET_BREAKS_OFF -> {
                target.breaksOff = on;
                target.engine.ifPresent(engine -> engine.breaksOff = on);
            }
            case TARGET_REFUSES -> target.refuses = on;
            case TARGET_SLOW -> target.engine.ifPresent(engine -> engine.slowness = on ? SLOW_ENGINE : 1);
            default -> target.engine.ifPresent(engine -> engine.ordersAreLate = on);
        }
    }
}
