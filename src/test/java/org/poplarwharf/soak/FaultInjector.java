package org.poplarwharf.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.poplarwharf.internal.standin.LinkFaults;

/**
 * Injects random faults, determined by a seed, into a fleet and ends each after its duration.
 *
 * <p>Invariants: the sequence of faults and affected components depends only on the seed, except that a fault is skipped if
 * its component already has one; two concurrent faults never affect the same component. Not thread-safe.
 */
final class FaultInjector {
    private static final long LOG_DELAY_MILLIS = 800;
    private static final double LOST_RESPONSE_RATIO = 0.4;
    private static final long APPEND_DELAY_MILLIS = 2_000;
    private static final int SHORT_PAGE_RECORD_COUNT = 2;

    /** Names that change a request target or a header if they are not encoded, in bytes; some sort among those of the targets. */
    private static final List<byte[]> ODD_NAMES = Stream.of(
                    "x-1",
                    "a&b",
                    "a+b",
                    "a#b",
                    "a%b",
                    "a b",
                    "a\r\nb: c",
                    "a\0",
                    "t1-0 ",
                    "t1&part=1",
                    "t1%41",
                    "t1\u00ff")
            .flatMap(name ->
                    Stream.of(name.getBytes(StandardCharsets.UTF_8), name.getBytes(StandardCharsets.ISO_8859_1)))
            .toList();

    private static final long LINK_DELAY_MILLIS = 150;

    /** Exceeds the lease duration, so that a paused holder loses its lease. */
    private static final long LONG_PAUSE_MILLIS = 9_000;

    /** A terminated process is killed after its shutdown grace period. */
    private static final long TERMINATION_MILLIS = SoakGateway.SHUTDOWN_GRACE_SECONDS * 1_000 + 500;

    private static final int MIN_SILENCE_MILLIS = 1_000;
    private static final int MAX_SILENCE_MILLIS = 2_500;
    private static final int MIN_CONFIG_INTERVAL_MILLIS = 50;
    private static final int MAX_CONFIG_INTERVAL_MILLIS = 400;

    private static final int MAX_LOST_MILLIS = 4_000;

    /** Long enough that a limit is also checked after the time in which gateways may learn of it. */
    private static final long LIMITED_MILLIS = 9_000;

    private static final double[] REQUESTS_PER_SECOND_LIMITS = {1, 1.5, 4, 10};

    private final SoakFleet fleet;
    private final Random random;
    private final int kindCount;
    private final boolean hasLogFaults;
    private final List<Kind> preferredKinds;
    private final boolean reloadsDuringDrain;
    private final List<byte[]> invalidEntryNames;
    private final Set<String> faultyComponents = new HashSet<>();
    private final List<ActiveFault> activeFaults = new ArrayList<>();

    /** What a fault affects. */
    private enum FaultScope {
        GATEWAY,
        ALL_GATEWAYS,
        LOG,
        CONFIG,
        INVALID_ENTRY,
        TARGET
    }

    enum Kind {
        GATEWAY_KILLED(FaultScope.GATEWAY),
        GATEWAY_TERMINATED(FaultScope.GATEWAY),
        GATEWAY_PAUSED(FaultScope.GATEWAY),
        GATEWAY_PAUSED_LONG(FaultScope.GATEWAY),
        GATEWAY_CUT_FROM_LOG(FaultScope.GATEWAY),
        GATEWAY_REFUSED_BY_LOG(FaultScope.GATEWAY),
        GATEWAY_CUT_ONE_WAY(FaultScope.GATEWAY),
        SETTINGS_CHANGED(FaultScope.GATEWAY),
        POWER_LOST(FaultScope.ALL_GATEWAYS),
        LOG_UNAVAILABLE(FaultScope.LOG),
        LOG_SLOW(FaultScope.LOG),
        LOG_RESPONSES_LOST(FaultScope.LOG),
        LOG_APPENDS_DELAYED(FaultScope.LOG),
        LOG_TRUNCATED(FaultScope.LOG),
        CONFIG_CHANGED(FaultScope.CONFIG),
        INVALID_ENTRY(FaultScope.INVALID_ENTRY),
        TARGET_CRASHES(FaultScope.TARGET),
        TARGET_DRAINS(FaultScope.TARGET),
        TARGET_ABORTS_RESPONSES(FaultScope.TARGET),
        TARGET_REFUSES(FaultScope.TARGET),
        TARGET_SLOW(FaultScope.TARGET),
        TARGET_LINK_SILENT(FaultScope.TARGET),
        TARGET_LINK_ONE_WAY(FaultScope.TARGET),
        TARGET_LINK_FROZEN(FaultScope.TARGET),
        TARGET_LINK_SLOW(FaultScope.TARGET),
        TARGET_LINK_RESET(FaultScope.TARGET),
        ORDERS_DELAYED(FaultScope.TARGET),
        LOG_RESTORED(FaultScope.LOG),
        TARGET_LIMITED(FaultScope.TARGET),
        TARGET_OMITS_FRAMING(FaultScope.TARGET),
        TARGET_SILENT(FaultScope.TARGET),
        CONFIG_CHANGED_IN_SERIES(FaultScope.CONFIG),
        TARGET_REPEATS_REFUSALS(FaultScope.TARGET),
        TARGET_FAILS_RUNS(FaultScope.TARGET),
        TARGET_SENDS_MALFORMED(FaultScope.TARGET);

        private final FaultScope scope;

        Kind(FaultScope scope) {
            this.scope = scope;
        }
    }

    private record ActiveFault(FaultTimeline.InjectedFault fault, long dueMillis, Runnable endAction) {}

    FaultInjector(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.kindCount = FaultSeeds.kindCount(seed);
        this.hasLogFaults = !FaultSeeds.isWithoutLogFaults(seed);
        this.preferredKinds = FaultSeeds.preferredKinds(seed);
        this.reloadsDuringDrain = FaultSeeds.hasLongStreams(seed);
        boolean hasOddNames = FaultSeeds.hasOddNames(seed);
        this.invalidEntryNames = hasOddNames ? ODD_NAMES : List.of("x-1".getBytes(StandardCharsets.UTF_8));
        if (hasOddNames) {
            fleet.platform.maxPageRecordCount = SHORT_PAGE_RECORD_COUNT;
        }
    }

    /** Returns a random kind; from some seed on, half of them are preferred ones. */
    private Kind randomKind() {
        return !preferredKinds.isEmpty() && random.nextBoolean()
                ? preferredKinds.get(random.nextInt(preferredKinds.size()))
                : Kind.values()[random.nextInt(kindCount)];
    }

    int randomMillis(int min, int max) {
        return min + random.nextInt(max - min);
    }

    int activeCount() {
        return activeFaults.size();
    }

    /** Starts the next random fault, or skips it if its component already has one or the seed excludes it. */
    void startNext(int minMillis, int maxMillis) {
        Kind kind = randomKind();
        SoakGateway gateway = fleet.gateways().get(random.nextInt(SoakFleet.GATEWAY_COUNT));
        SoakTarget target = fleet.targets().get(random.nextInt(fleet.targets().size()));
        long randomDurationMillis = randomMillis(minMillis, maxMillis);
        long durationMillis = switch (kind) {
            case GATEWAY_PAUSED_LONG -> LONG_PAUSE_MILLIS;
            case GATEWAY_TERMINATED -> TERMINATION_MILLIS;
            case TARGET_LIMITED -> LIMITED_MILLIS;
            default -> randomDurationMillis;
        };
        if (kind.scope == FaultScope.LOG && !hasLogFaults) {
            return;
        }
        Set<String> components = components(kind, gateway, target);
        if (components.stream().anyMatch(faultyComponents::contains)) {
            return;
        }
        faultyComponents.addAll(components);
        String component = components.iterator().next();
        System.out.println(
                "soak: " + kind + " " + component + " for " + durationMillis + " ms, at " + fleet.nowMillis());
        boolean isPlanned =
                kind.scope == FaultScope.CONFIG || kind == Kind.SETTINGS_CHANGED || kind == Kind.GATEWAY_TERMINATED;
        List<FaultTimeline.InjectedFault> faults = new ArrayList<>();
        for (String each : components) {
            faults.add(fleet.faultTimeline.recordStart(kind.name(), each, isPlanned, fleet.nowMillis()));
        }
        Optional<Runnable> end = start(kind, gateway, target);
        long dueMillis = fleet.nowMillis() + (end.isPresent() ? durationMillis : 0);
        for (FaultTimeline.InjectedFault fault : faults) {
            boolean isFirst = fault == faults.get(0);
            activeFaults.add(new ActiveFault(fault, dueMillis, isFirst ? end.orElse(() -> {}) : () -> {}));
        }
    }

    /** Ends the faults whose duration is over. */
    void endDue() {
        end(fleet.nowMillis());
    }

    /** Ends all faults, after the shutdown grace period of terminated processes. */
    void endAll() throws InterruptedException {
        for (ActiveFault active : List.copyOf(activeFaults)) {
            if (active.fault().kind.equals(Kind.GATEWAY_TERMINATED.name())) {
                Thread.sleep(Math.max(0, active.dueMillis() - fleet.nowMillis()));
            }
        }
        end(Long.MAX_VALUE);
    }

    private void end(long dueMillis) {
        List<ActiveFault> due = activeFaults.stream()
                .filter(active -> active.dueMillis() <= dueMillis)
                .toList();
        for (ActiveFault active : due) {
            active.endAction().run();
            fleet.faultTimeline.recordEnd(active.fault(), fleet.nowMillis());
            faultyComponents.remove(active.fault().component);
            activeFaults.remove(active);
        }
    }

    private Set<String> components(Kind kind, SoakGateway gateway, SoakTarget target) {
        return switch (kind.scope) {
            case GATEWAY -> Set.of(gateway.name);
            case ALL_GATEWAYS -> {
                Set<String> all = new HashSet<>();
                fleet.gateways().forEach(each -> all.add(each.name));
                yield all;
            }
            case LOG -> Set.of("log");
            case CONFIG -> Set.of("plan");
            case INVALID_ENTRY -> Set.of("strange");
            case TARGET -> Set.of(target.name);
        };
    }

    /** Starts a fault and returns the action that ends it; empty for a fault without duration. */
    private Optional<Runnable> start(Kind kind, SoakGateway gateway, SoakTarget target) {
        return switch (kind) {
            case GATEWAY_KILLED -> killGateways(List.of(gateway));
            case POWER_LOST -> killGateways(fleet.gateways());
            case GATEWAY_TERMINATED -> terminateGateway(gateway);
            case GATEWAY_PAUSED, GATEWAY_PAUSED_LONG -> pauseGateway(gateway);
            case GATEWAY_CUT_FROM_LOG -> setLinkFaults(gateway.name + "-log", LinkFaults.silent());
            case GATEWAY_REFUSED_BY_LOG -> refuseConnections(gateway.name + "-log");
            case GATEWAY_CUT_ONE_WAY -> setLinkFaults(gateway.name + "-log", randomOneWayFault());
            case SETTINGS_CHANGED -> {
                gateway.changeSettings(SoakGateway.DRAIN_MILLIS + random.nextInt(2));
                yield Optional.empty();
            }
            case LOG_UNAVAILABLE, LOG_SLOW, LOG_RESPONSES_LOST, LOG_APPENDS_DELAYED, LOG_TRUNCATED ->
                startLogFault(kind);
            case LOG_RESTORED -> {
                fleet.platform.unavailable = true;
                yield Optional.of(() -> fleet.restoreLog(random.nextInt(MAX_LOST_MILLIS)));
            }
            case CONFIG_CHANGED -> {
                fleet.publishConfig();
                yield Optional.empty();
            }
            case CONFIG_CHANGED_IN_SERIES ->
                Optional.of(fleet.publishConfigs(randomMillis(MIN_CONFIG_INTERVAL_MILLIS, MAX_CONFIG_INTERVAL_MILLIS)));
            case INVALID_ENTRY -> putInvalidEntry();
            case TARGET_CRASHES -> crashTarget(target);
            case TARGET_DRAINS -> drainTarget(target);
            case TARGET_ABORTS_RESPONSES,
                    TARGET_REFUSES,
                    TARGET_SLOW,
                    ORDERS_DELAYED,
                    TARGET_OMITS_FRAMING,
                    TARGET_REPEATS_REFUSALS,
                    TARGET_FAILS_RUNS,
                    TARGET_SENDS_MALFORMED -> startTargetFault(kind, target);
            case TARGET_LIMITED ->
                Optional.of(target.nameLimit(
                        REQUESTS_PER_SECOND_LIMITS[random.nextInt(REQUESTS_PER_SECOND_LIMITS.length)]));
            case TARGET_SILENT -> {
                target.setSilence(randomMillis(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS));
                yield Optional.of(() -> target.setSilence(0));
            }
            case TARGET_LINK_SILENT -> setLinkFaults("any-" + target.name, LinkFaults.silent());
            case TARGET_LINK_ONE_WAY -> setLinkFaults("any-" + target.name, randomOneWayFault());
            case TARGET_LINK_SLOW -> setLinkFaults("any-" + target.name, LinkFaults.delayed(LINK_DELAY_MILLIS));
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

    private LinkFaults randomOneWayFault() {
        return random.nextBoolean() ? LinkFaults.silentToClient() : LinkFaults.silentToUpstream();
    }

    private Optional<Runnable> killGateways(List<SoakGateway> gateways) {
        gateways.forEach(gateway -> gateway.process().kill());
        return Optional.of(() -> gateways.forEach(SoakGateway::start));
    }

    private Optional<Runnable> terminateGateway(SoakGateway gateway) {
        gateway.process().terminate();
        if (reloadsDuringDrain) {
            gateway.reloadWhileEnding();
        }
        return Optional.of(() -> {
            if (gateway.process().isAlive()) {
                fleet.activity.recordViolation(
                        gateway.incarnation() + " did not exit within its shutdown grace period");
                gateway.process().kill();
            }
            gateway.start();
        });
    }

    private Optional<Runnable> pauseGateway(SoakGateway gateway) {
        gateway.process().pause();
        return Optional.of(() -> gateway.process().resume());
    }

    private Optional<Runnable> setLinkFaults(String link, LinkFaults faults) {
        fleet.setLink(link, faults);
        return Optional.of(() -> fleet.setLink(link, LinkFaults.none()));
    }

    private Optional<Runnable> refuseConnections(String link) {
        fleet.setLink(link, LinkFaults.refusing());
        fleet.resetLink(link);
        return Optional.of(() -> fleet.setLink(link, LinkFaults.none()));
    }

    private Optional<Runnable> startLogFault(Kind kind) {
        switch (kind) {
            case LOG_UNAVAILABLE -> fleet.platform.unavailable = true;
            case LOG_SLOW -> fleet.platform.responseDelayMillis = LOG_DELAY_MILLIS;
            case LOG_RESPONSES_LOST -> fleet.platform.lostResponseRatio = LOST_RESPONSE_RATIO;
            case LOG_APPENDS_DELAYED -> fleet.platform.appendDelayMillis = APPEND_DELAY_MILLIS;
            default -> fleet.platform.truncateHistory();
        }
        return Optional.of(() -> {
            fleet.platform.unavailable = false;
            fleet.platform.responseDelayMillis = 0;
            fleet.platform.lostResponseRatio = 0;
            fleet.platform.appendDelayMillis = 0;
        });
    }

    private Optional<Runnable> putInvalidEntry() {
        String[] entries = {
            "not json", "{'service':'desk','addr':7}", "{'service':'none','addr':'127.0.0.1:1','state':'resting'}", "[]"
        };
        byte[] entry =
                entries[random.nextInt(entries.length)].replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        invalidEntryNames.forEach(name -> fleet.platform.put("servers", name, entry));
        return Optional.of(() -> invalidEntryNames.forEach(name -> fleet.platform.put("servers", name, new byte[0])));
    }

    private Optional<Runnable> crashTarget(SoakTarget target) {
        String link = "any-" + target.name;
        fleet.setLink(link, LinkFaults.refusing());
        target.crash();
        fleet.resetLink(link);
        return Optional.of(() -> {
            target.restart();
            fleet.setLink(link, LinkFaults.none());
        });
    }

    /** Announces that a target is draining; the end action replaces it under a new id at the same address. */
    private Optional<Runnable> drainTarget(SoakTarget target) {
        target.draining = true;
        return Optional.of(() -> {
            fleet.resetLink("any-" + target.name);
            target.replace();
        });
    }

    private Optional<Runnable> startTargetFault(Kind kind, SoakTarget target) {
        target.setFault(kind, true);
        return Optional.of(() -> target.setFault(kind, false));
    }
}
