package org.poplarwharf.internal.cli;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineSettings;
import org.poplarwharf.internal.standin.EngineStandin;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.LogStandin;
import org.poplarwharf.internal.standin.ServiceStandin;
import org.poplarwharf.internal.standin.Standin;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.internal.standin.StoreEvent;
import org.poplarwharf.internal.standin.StoreStandin;
import org.poplarwharf.internal.standin.VmListStandin;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Runs the stand-ins of a local fleet on one event loop: log, VM list, weight store, and one stand-in per target.
 *
 * <p>Thread-safe: every call runs on the event loop's thread and blocks the calling thread until it completes.
 */
final class LocalStandins {
    private static final String VM_SUFFIX = "-vm";
    private static final long VM_LIST_LAG_MILLIS = 0;

    private final Eventloop loop = Eventloop.create();
    private final List<Standin> standins = new ArrayList<>();
    private final Map<String, Standin> targets = new LinkedHashMap<>();
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final StandinPerformance performance;
    private final List<ServiceStandin> services = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private LogStandin log;
    private StoreStandin store;
    private VmListStandin vmList;

    /** Starts the stand-ins, one for each target of a configuration. */
    LocalStandins(FleetConfig config, StandinPerformance performance) {
        this.performance = performance;
        loop.keepAlive(true);
        Thread thread = new Thread(loop, "standins");
        thread.setDaemon(true);
        thread.start();
        callOnLoop(() -> startAll(config));
    }

    String logAddress() {
        return log.address();
    }

    String vmListAddress() {
        return vmList.address();
    }

    String targetAddress(String target) {
        return targets.get(target).address();
    }

    /** Adds the VM of a node to the VM list. */
    void addNode(String nodeId, String vmId, String address, String zone) {
        callOnLoop(() -> {
            vms.add(new Vm(vmId, nodeId, address, zone, VmState.LIVE));
            vmList.setVms(List.copyOf(vms));
            return true;
        });
    }

    /** Returns how often the services executed a call with an idempotency key. */
    long executedCallCount(String idempotencyKey) {
        return callOnLoop(() -> services.stream()
                .flatMap(service -> service.journal().entries().stream())
                .filter(entry -> entry.event().idempotencyKey().equals(Optional.of(idempotencyKey)))
                .count());
    }

    /** Returns the events that each engine has journalled so far. */
    Map<String, List<Journal.Entry<EngineEvent>>> engineJournals() {
        return callOnLoop(() -> {
            Map<String, List<Journal.Entry<EngineEvent>>> journals = new LinkedHashMap<>();
            engines.forEach(
                    (name, engine) -> journals.put(name, engine.journal().entries()));
            return journals;
        });
    }

    /** Returns the events that the weight store has journalled so far. */
    List<Journal.Entry<StoreEvent>> storeJournal() {
        return callOnLoop(() -> store.journal().entries());
    }

    void stop() {
        callOnLoop(() -> {
            standins.forEach(Standin::stop);
            loop.keepAlive(false);
            return true;
        });
    }

    private boolean startAll(FleetConfig config) {
        log = add(LogStandin.start(loop, StandinAddresses.loopback(), performance.log()));
        vmList = add(VmListStandin.start(loop, StandinAddresses.loopback(), VM_LIST_LAG_MILLIS));
        store = add(StoreStandin.start(loop, StandinAddresses.loopback(), performance.store()));
        for (TargetSpec target : config.targets()) {
            Standin standin = target.kind() == TargetKind.ENGINE ? startEngine(target) : startService();
            targets.put(target.name(), standin);
            vms.add(new Vm(target.name() + VM_SUFFIX, target.name(), standin.address(), target.zone(), VmState.LIVE));
        }
        vmList.setVms(List.copyOf(vms));
        return true;
    }

    private Standin startEngine(TargetSpec target) {
        EngineSettings settings = performance.engineSettings(target, store.address());
        EngineStandin engine = add(EngineStandin.start(loop, StandinAddresses.loopback(), settings));
        engines.put(target.name(), engine);
        return engine;
    }

    private Standin startService() {
        ServiceStandin service =
                add(ServiceStandin.start(loop, StandinAddresses.loopback(), performance.serviceMillis()));
        services.add(service);
        return service;
    }

    private <T extends Standin> T add(T standin) {
        standins.add(standin);
        return standin;
    }

    private <T> T callOnLoop(Callable<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw Reporter.internal("A stand-in", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("a stand-in", e);
        }
    }
}
