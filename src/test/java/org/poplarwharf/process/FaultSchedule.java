package org.poplarwharf.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.VmListFaults;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Draws faults for a fleet by a seed; each begins now and tells how it ends.
 *
 * <p>Invariants: the sequence of kinds and victims depends on the seed alone; two faults at one time never strike the same
 * part. For one test thread.
 */
final class FaultSchedule {
    private final FaultFleet fleet;
    private final Cluster cluster;
    private final Random random;
    private final List<String> busy = new ArrayList<>();
    private FleetFile file;
    private FleetFile largest;

    /** What may strike. */
    private enum Kind {
        NODE_KILLED,
        NODE_PAUSED,
        NODE_CUT_FROM_LOG,
        NODE_CUT_ONE_WAY,
        PEERS_CUT,
        LOG_DOWN,
        LOG_SLOW,
        LOG_ANSWERS_LOST,
        ENGINE_KILLED,
        ENGINE_LINK_FROZEN,
        ENGINE_LINK_SILENT,
        VM_REPLACED,
        TARGET_LEAVING,
        LIST_LAGGING,
        REPLICAS_CHANGED
    }

    /** A fault that has begun; {@code what} names it and its victim. */
    record Fault(String what, String part, Runnable end) {}

    FaultSchedule(FaultFleet fleet, FleetFile file, long seed) {
        this.fleet = fleet;
        this.cluster = fleet.cluster();
        this.file = file;
        this.largest = file;
        this.random = new Random(seed);
    }

    int millisBetween(int least, int most) {
        return least + random.nextInt(most - least);
    }

    String anyModel() {
        return file.models().get(random.nextInt(file.models().size())).name();
    }

    String anyNode() {
        return any(cluster.nodeNames());
    }

    private String any(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    /** Begins the next fault; empty where its victim is struck already. */
    Optional<Fault> next() {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String node = anyNode();
        String engine = any(cluster.engineNames());
        String model = anyModel();
        String part = part(kind, node, engine);
        if (busy.contains(part)) {
            return Optional.empty();
        }
        busy.add(part);
        Runnable end = begin(kind, node, engine, model);
        return Optional.of(new Fault(kind + " " + part, part, end));
    }

    void end(Fault fault) {
        fault.end().run();
        busy.remove(fault.part());
    }

    private static String part(Kind kind, String node, String engine) {
        return switch (kind) {
            case NODE_KILLED, NODE_PAUSED, NODE_CUT_FROM_LOG, NODE_CUT_ONE_WAY -> node;
            case PEERS_CUT -> "peers";
            case LOG_DOWN, LOG_SLOW, LOG_ANSWERS_LOST, REPLICAS_CHANGED -> "log";
            case ENGINE_KILLED, ENGINE_LINK_FROZEN, ENGINE_LINK_SILENT, VM_REPLACED, TARGET_LEAVING -> engine;
            case LIST_LAGGING -> "vms";
        };
    }

    private Runnable begin(Kind kind, String node, String engine, String model) {
        return switch (kind) {
            case NODE_KILLED -> kill(node);
            case NODE_PAUSED -> pause(node);
            case NODE_CUT_FROM_LOG -> link(node, "log", LinkFaults.silent());
            case NODE_CUT_ONE_WAY ->
                link(node, "log", random.nextBoolean() ? LinkFaults.silentToClient() : LinkFaults.silentToUpstream());
            case PEERS_CUT -> peers();
            case LOG_DOWN -> log(LogFaults.outage());
            case LOG_SLOW -> log(new LogFaults(false, false, 700, 0, 0, false));
            case LOG_ANSWERS_LOST -> log(new LogFaults(false, false, 0, 0, 0.4, random.nextBoolean()));
            case ENGINE_KILLED -> killEngine(engine);
            case ENGINE_LINK_FROZEN -> freeze(engine);
            case ENGINE_LINK_SILENT -> link("any", engine, LinkFaults.silent());
            case VM_REPLACED -> replaceVm(engine);
            case TARGET_LEAVING -> leave(engine);
            case LIST_LAGGING -> lag();
            case REPLICAS_CHANGED -> resize(model);
        };
    }

    private Runnable kill(String node) {
        cluster.process(node).kill();
        return () -> cluster.startNode(node).listening();
    }

    private Runnable pause(String node) {
        cluster.process(node).pause();
        return () -> cluster.process(node).resume();
    }

    private Runnable link(String from, String to, LinkFaults faults) {
        cluster.setLink(from, to, faults);
        return () -> cluster.setLink(from, to, LinkFaults.none());
    }

    private Runnable peers() {
        setPeers(LinkFaults.silent());
        return () -> setPeers(LinkFaults.none());
    }

    private void setPeers(LinkFaults faults) {
        for (String from : cluster.nodeNames()) {
            cluster.setLink("any", from, faults);
            cluster.nodeNames().stream()
                    .filter(to -> !to.equals(from))
                    .forEach(to -> cluster.setLink(from, to, faults));
        }
    }

    private Runnable log(LogFaults faults) {
        cluster.setFaults("log", faults);
        return () -> cluster.setFaults("log", LogFaults.none());
    }

    private Runnable killEngine(String engine) {
        fleet.killEngine(engine);
        return () -> cluster.restartEngine(engine).listening();
    }

    private Runnable freeze(String engine) {
        cluster.freezeLink("any", engine);
        return () -> cluster.thawLink("any", engine);
    }

    private Runnable replaceVm(String engine) {
        fleet.killEngine(engine);
        fleet.changeVms(vms -> vms.removeIf(vm -> vm.name().equals(engine)));
        return () -> {
            cluster.restartEngine(engine).listening();
            fleet.changeVms(vms -> vms.add(vm("vm-" + System.nanoTime(), engine, VmState.LIVE)));
        };
    }

    private Runnable leave(String engine) {
        Vm before = fleet.vm(engine);
        replace(vm(before.vmId(), engine, VmState.LEAVING));
        fleet.invariants().leaving(engine, true, fleet.nowMillis());
        return () -> {
            fleet.invariants().leaving(engine, false, fleet.nowMillis());
            replace(before);
        };
    }

    private void replace(Vm vm) {
        fleet.changeVms(vms -> {
            vms.removeIf(old -> old.name().equals(vm.name()));
            vms.add(vm);
        });
    }

    private Vm vm(String vmId, String engine, VmState state) {
        return new Vm(vmId, engine, cluster.linkToAny(engine), cluster.zone(engine), state);
    }

    private Runnable lag() {
        cluster.setFaults("vms", new VmListFaults(false, 2_000));
        return () -> cluster.setFaults("vms", new VmListFaults(false, 0));
    }

    /** Publishes another number of replicas; fewer are due once the faults have ended. */
    private Runnable resize(String model) {
        FleetFile changed = file.withReplicas(model, 1 + random.nextInt(2));
        long beforeMillis = fleet.nowMillis();
        if (fleet.publishUnchecked(changed, "chaos").exitCode() == 0) {
            file = changed;
            grow(changed, beforeMillis);
        }
        return () -> {};
    }

    private void grow(FleetFile changed, long beforeMillis) {
        changed.replicas().forEach((model, replicas) -> {
            if (largest.replicas().get(model) < replicas) {
                largest = largest.withReplicas(model, replicas);
            }
        });
        fleet.allow(largest, beforeMillis, beforeMillis);
    }

    /** Tells the check that all faults have ended, so that the last file must come into force. */
    void ended() {
        fleet.allow(file, fleet.nowMillis(), fleet.nowMillis());
    }
}
