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
 * Injects random faults into a fleet; the faults are drawn with a seed, and each can be undone.
 *
 * <p>Invariants: the sequence of fault kinds and affected components depends on the seed alone; a component has at most
 * one fault at a time. Confined to one test thread.
 */
final class RandomFaultInjector {
    private final CheckedFleet fleet;
    private final Cluster cluster;
    private final Random random;
    private final List<String> faultyComponents = new ArrayList<>();
    private FleetConfigFile currentFile;
    private FleetConfigFile maxReplicasFile;

    /** The kinds of faults. Reordering the constants changes the fault sequence of a seed. */
    private enum Kind {
        NODE_KILLED,
        NODE_PAUSED,
        NODE_CUT_FROM_LOG,
        NODE_CUT_ONE_WAY,
        PEERS_CUT,
        LOG_DOWN,
        LOG_SLOW,
        LOG_RESPONSES_LOST,
        ENGINE_KILLED,
        ENGINE_LINK_FROZEN,
        ENGINE_LINK_SILENT,
        VM_REPLACED,
        TARGET_LEAVING,
        VM_LIST_LAGGING,
        REPLICAS_CHANGED
    }

    /** An active fault; the description names its kind and the affected component. */
    record Fault(String description, String component, Runnable undo) {}

    RandomFaultInjector(CheckedFleet fleet, FleetConfigFile currentFile, long seed) {
        this.fleet = fleet;
        this.cluster = fleet.cluster();
        this.currentFile = currentFile;
        this.maxReplicasFile = currentFile;
        this.random = new Random(seed);
    }

    int randomMillis(int minMillis, int maxMillis) {
        return minMillis + random.nextInt(maxMillis - minMillis);
    }

    String randomModel() {
        return currentFile
                .models()
                .get(random.nextInt(currentFile.models().size()))
                .name();
    }

    String randomNode() {
        return randomElement(cluster.nodeNames());
    }

    private String randomElement(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    /** Injects the next fault, or returns empty if its component already has one. */
    Optional<Fault> injectNext() {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String node = randomNode();
        String engine = randomElement(cluster.engineNames());
        String model = randomModel();
        String component = componentOf(kind, node, engine);
        if (faultyComponents.contains(component)) {
            return Optional.empty();
        }
        faultyComponents.add(component);
        Runnable undo = inject(kind, node, engine, model);
        return Optional.of(new Fault(kind + " " + component, component, undo));
    }

    void endFault(Fault fault) {
        fault.undo().run();
        faultyComponents.remove(fault.component());
    }

    private static String componentOf(Kind kind, String node, String engine) {
        return switch (kind) {
            case NODE_KILLED, NODE_PAUSED, NODE_CUT_FROM_LOG, NODE_CUT_ONE_WAY -> node;
            case PEERS_CUT -> "peers";
            case LOG_DOWN, LOG_SLOW, LOG_RESPONSES_LOST, REPLICAS_CHANGED -> "log";
            case ENGINE_KILLED, ENGINE_LINK_FROZEN, ENGINE_LINK_SILENT, VM_REPLACED, TARGET_LEAVING -> engine;
            case VM_LIST_LAGGING -> "vms";
        };
    }

    private Runnable inject(Kind kind, String node, String engine, String model) {
        return switch (kind) {
            case NODE_KILLED -> killNode(node);
            case NODE_PAUSED -> pauseNode(node);
            case NODE_CUT_FROM_LOG -> injectLinkFaults(node, "log", LinkFaults.silent());
            case NODE_CUT_ONE_WAY ->
                injectLinkFaults(
                        node,
                        "log",
                        random.nextBoolean() ? LinkFaults.silentToClient() : LinkFaults.silentToUpstream());
            case PEERS_CUT -> cutPeerLinks();
            case LOG_DOWN -> injectLogFaults(LogFaults.outage());
            case LOG_SLOW -> injectLogFaults(new LogFaults(false, false, 700, 0, 0, false));
            case LOG_RESPONSES_LOST -> injectLogFaults(new LogFaults(false, false, 0, 0, 0.4, random.nextBoolean()));
            case ENGINE_KILLED -> killEngine(engine);
            case ENGINE_LINK_FROZEN -> freezeEngineLink(engine);
            case ENGINE_LINK_SILENT -> injectLinkFaults("any", engine, LinkFaults.silent());
            case VM_REPLACED -> replaceVm(engine);
            case TARGET_LEAVING -> markLeaving(engine);
            case VM_LIST_LAGGING -> delayVmList();
            case REPLICAS_CHANGED -> changeReplicas(model);
        };
    }

    private Runnable killNode(String node) {
        cluster.process(node).kill();
        return () -> cluster.startNode(node).awaitListening();
    }

    private Runnable pauseNode(String node) {
        cluster.process(node).pause();
        return () -> cluster.process(node).resume();
    }

    private Runnable injectLinkFaults(String from, String to, LinkFaults faults) {
        cluster.setLink(from, to, faults);
        return () -> cluster.setLink(from, to, LinkFaults.none());
    }

    private Runnable cutPeerLinks() {
        setPeerLinks(LinkFaults.silent());
        return () -> setPeerLinks(LinkFaults.none());
    }

    private void setPeerLinks(LinkFaults faults) {
        for (String from : cluster.nodeNames()) {
            cluster.setLink("any", from, faults);
            cluster.nodeNames().stream()
                    .filter(to -> !to.equals(from))
                    .forEach(to -> cluster.setLink(from, to, faults));
        }
    }

    private Runnable injectLogFaults(LogFaults faults) {
        cluster.setFaults("log", faults);
        return () -> cluster.setFaults("log", LogFaults.none());
    }

    private Runnable killEngine(String engine) {
        fleet.killEngine(engine);
        return () -> cluster.restartEngine(engine).awaitListening();
    }

    private Runnable freezeEngineLink(String engine) {
        cluster.freezeLink("any", engine);
        return () -> cluster.thawLink("any", engine);
    }

    private Runnable replaceVm(String engine) {
        fleet.killEngine(engine);
        fleet.updateVmList(vms -> vms.removeIf(vm -> vm.name().equals(engine)));
        return () -> {
            cluster.restartEngine(engine).awaitListening();
            fleet.updateVmList(vms -> vms.add(vm("vm-" + System.nanoTime(), engine, VmState.LIVE)));
        };
    }

    private Runnable markLeaving(String engine) {
        Vm originalVm = fleet.vm(engine);
        replace(vm(originalVm.vmId(), engine, VmState.LEAVING));
        fleet.invariants().recordLeaving(engine, true, fleet.nowMillis());
        return () -> {
            fleet.invariants().recordLeaving(engine, false, fleet.nowMillis());
            replace(originalVm);
        };
    }

    private void replace(Vm vm) {
        fleet.updateVmList(vms -> {
            vms.removeIf(listed -> listed.name().equals(vm.name()));
            vms.add(vm);
        });
    }

    private Vm vm(String vmId, String engine, VmState state) {
        return new Vm(vmId, engine, cluster.sharedLinkAddress(engine), cluster.zone(engine), state);
    }

    private Runnable delayVmList() {
        cluster.setFaults("vms", new VmListFaults(false, 2_000));
        return () -> cluster.setFaults("vms", new VmListFaults(false, 0));
    }

    /** Publishes a different replica count. A lower limit is enforced only after all faults have ended. */
    private Runnable changeReplicas(String model) {
        FleetConfigFile changed = currentFile.withReplicas(model, 1 + random.nextInt(2));
        long beforeMillis = fleet.nowMillis();
        if (fleet.publishUnchecked(changed, "chaos").exitCode() == 0) {
            currentFile = changed;
            raiseReplicaLimits(changed, beforeMillis);
        }
        return () -> {};
    }

    private void raiseReplicaLimits(FleetConfigFile changed, long beforeMillis) {
        changed.replicasByModel().forEach((model, replicas) -> {
            if (maxReplicasFile.replicasByModel().get(model) < replicas) {
                maxReplicasFile = maxReplicasFile.withReplicas(model, replicas);
            }
        });
        fleet.recordReplicaLimits(maxReplicasFile, beforeMillis, beforeMillis);
    }

    /** Records for the check that all faults have ended, so that the last published limits must take effect. */
    void onAllFaultsEnded() {
        fleet.recordReplicaLimits(currentFile, fleet.nowMillis(), fleet.nowMillis());
    }
}
