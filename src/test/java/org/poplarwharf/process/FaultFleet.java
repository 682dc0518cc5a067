package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.async.callback.AsyncComputation;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal.Entry;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;
import org.poplarwharf.support.TestHttp;

/**
 * A running cluster that serves a configuration, and the check of what its engines did.
 *
 * <p>Invariant: {@link #close} fails where the journals show a violation. For one test thread.
 */
final class FaultFleet implements AutoCloseable {
    static final long MEMORY_BYTES = 4L << 30;

    /** Short leases, so that a takeover takes about a second. */
    static final List<String> QUICK_NODES = List.of(
            "--store-loads-per-second=20",
            "--store-full-speed-places=4",
            "--lease=1s",
            "--renew=500ms",
            "--drift=100ms",
            "--engine-report=100ms",
            "--keep-alive=60s",
            "--progress-timeout=3s",
            "--drain=10s");

    private static final HttpHeader TENANT = HttpHeaders.of("X-Tenant");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CELL = "main";

    private final Cluster cluster;
    private final Path folder;
    private final FleetInvariants invariants = new FleetInvariants(MEMORY_BYTES);
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<String, Integer> allowed = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private int folders;

    private FaultFleet(Path folder, Cluster cluster) {
        this.folder = folder;
        this.cluster = cluster;
    }

    /** Returns settings of a cluster whose loads take a while and whose engines have the memory that is checked. */
    static ClusterSettings settings(int nodes, int engines, int enginesWithoutFencing) {
        return ClusterSettings.of(nodes, engines)
                .withEnginesWithoutFencing(enginesWithoutFencing)
                .withNodeOptions(QUICK_NODES)
                .withStoreOptions(List.of("--loads-per-second=50", "--bytes-per-second=1e9"))
                .withEngineOptions(List.of("--memory-bytes=" + MEMORY_BYTES, "--near-copies=0"));
    }

    /** Starts everything, publishes and waits until every node is ready and a lease is held. */
    static FaultFleet start(Path folder, ClusterSettings settings, FleetFile file) {
        FaultFleet fleet = new FaultFleet(folder, Cluster.start(folder, settings));
        try {
            fleet.publish(file);
            fleet.cluster.startNodes();
            fleet.cluster.nodeNames().forEach(fleet::awaitReady);
            fleet.holder();
            return fleet;
        } catch (RuntimeException | AssertionError e) {
            fleet.cluster.close();
            throw e;
        }
    }

    Cluster cluster() {
        return cluster;
    }

    FleetInvariants invariants() {
        return invariants;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Publishes a configuration that must be accepted, and tells the check of its replicas. */
    void publish(FleetFile file) {
        long beforeMillis = nowMillis();
        PoplarProcess.Ended ended = publishUnchecked(file, "operator");
        assertThat(ended.exitCode()).describedAs(ended.toString()).isZero();
        allow(file, beforeMillis, nowMillis());
    }

    /** Tells the check of a file: more replicas are allowed from the first moment, fewer are due from the second. */
    void allow(FleetFile file, long growsMillis, long shrinksMillis) {
        file.replicas().forEach((model, replicas) -> {
            boolean grows = allowed.getOrDefault(model, 0) < replicas;
            invariants.configured(ArtifactId.model(model), replicas, grows ? growsMillis : shrinksMillis);
            allowed.put(model, replicas);
        });
    }

    /** Changes the list of VMs. */
    void changeVms(Consumer<List<Vm>> change) {
        if (vms.isEmpty()) {
            vms.addAll(cluster.vms());
        }
        change.accept(vms);
        cluster.setVms(List.copyOf(vms));
    }

    /** Marks an engine's VM as leaving or live; nothing where no VM has the name. */
    void mark(String engine, VmState state) {
        changeVms(all -> all.replaceAll(
                vm -> vm.name().equals(engine) ? new Vm(vm.vmId(), engine, vm.address(), vm.zone(), state) : vm));
        invariants.leaving(engine, state == VmState.LEAVING, nowMillis());
    }

    /** Tells whether the order with this number has arrived at an engine. */
    boolean arrived(long fencingNumber) {
        return journals().values().stream()
                .flatMap(List::stream)
                .anyMatch(entry -> entry.event() instanceof EngineEvent.OrderReceived ordered
                        && ordered.order().fencingNumber() == fencingNumber);
    }

    /** Gives the operator's word that the order of an intent can't arrive any more; it may be settled already. */
    void settleByWord(String node, long intentOffset) {
        HttpRequest request = HttpRequest.post(
                        "http://" + cluster.process(node).listening().admin() + "/slots/settle")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                .withBody("{\"cell\":\"" + CELL + "\",\"intentOffset\":" + intentOffset + "}")
                .build();
        assertThat(cluster.http().call(request).status()).isIn(200, 409);
    }

    Vm vm(String name) {
        return Stream.concat(vms.stream(), cluster.vms().stream())
                .filter(vm -> vm.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Publishes a configuration; may be called from several threads. */
    PoplarProcess.Ended publishUnchecked(FleetFile file, String operator, String... options) {
        try {
            Path configuration = Files.createDirectory(folder.resolve(operator + "-" + nextFolder()));
            Files.writeString(configuration.resolve("10-all.yaml"), file.yaml(cluster));
            String log = cluster.process("log").listening().address();
            List<String> arguments = new ArrayList<>(List.of("config", "publish", "--log", log));
            arguments.addAll(List.of("--operator", operator, configuration.toString()));
            arguments.addAll(List.of(options));
            return cluster.run(arguments.toArray(String[]::new));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private synchronized int nextFolder() {
        return folders++;
    }

    void awaitReady(String node) {
        cluster.awaitOk(cluster.process(node).listening().admin() + "/ready");
    }

    /** Returns the names of the nodes whose processes live. */
    List<String> liveNodes() {
        return cluster.nodeNames().stream()
                .filter(node -> cluster.process(node).isAlive())
                .toList();
    }

    /** Returns a live node other than the given one. */
    String nodeBeside(String node) {
        return liveNodes().stream()
                .filter(name -> !name.equals(node))
                .findFirst()
                .orElseThrow();
    }

    /** Waits until a live node tells who holds the cell and that node agrees; returns it. */
    String holder() {
        String[] found = new String[1];
        eventually("a node holds the cell", () -> {
            for (String node : liveNodes()) {
                if (cell(node).map(cell -> cell.path("here").asBoolean()).orElse(false)) {
                    found[0] = node;
                }
            }
            return found[0] != null;
        });
        return found[0];
    }

    /** Waits until a node names a holder other than the given one. */
    void awaitTakeover(String witness, String from) {
        eventually(
                witness + " sees a holder other than " + from,
                () -> cell(witness)
                        .map(cell -> cell.path("holder").asText())
                        .filter(holder -> !holder.isEmpty() && !holder.equals(from))
                        .isPresent());
    }

    /** Waits until the holder has renewed its lease and has read that back. */
    void awaitRenewal(String holder) {
        long before = cluster.logJournal().size();
        eventually("a renewal", () -> cluster.logJournal().size() > before);
        status(holder);
        status(holder);
    }

    /** Returns what a node tells of its status, empty where it doesn't answer. */
    Optional<JsonNode> status(String node) {
        HttpRequest request = HttpRequest.get(
                        "http://" + cluster.process(node).listening().admin() + "/status")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                .build();
        try {
            TestHttp.Answer answer = cluster.http().call(request);
            return answer.status() == 200 ? Optional.of(MAPPER.readTree(answer.body())) : Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private Optional<JsonNode> cell(String node) {
        return status(node).map(status -> status.path("cells").path(0));
    }

    /** Returns the slot of a model as a node sees it. */
    Optional<JsonNode> slot(String node, String model) {
        for (JsonNode slot : cell(node).map(cell -> cell.path("slots")).orElse(MAPPER.createArrayNode())) {
            if (slot.path("artifact").asText().equals(model)) {
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** Tells whether requests for a model wait at a node. */
    boolean waits(String node, String model) {
        for (JsonNode queue : cell(node).map(cell -> cell.path("queues")).orElse(MAPPER.createArrayNode())) {
            if (queue.path("artifact").asText().equals(model)
                    && queue.path("waiting").asInt() > 0) {
                return true;
            }
        }
        return false;
    }

    /** How a request ended; a connection that failed has status 0. */
    record Answered(String node, int status, String body, long tookMillis) {}

    /** Sends a request for a model. */
    CompletableFuture<Answered> ask(String node, String model) {
        String url = "http://" + cluster.process(node).listening().listen() + "/v1/chat/completions";
        String body = "{\"model\":\"" + model + "\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\""
                + System.nanoTime() + "\"}]}";
        HttpRequest request = HttpRequest.post(url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(TENANT, "staff")
                .withBody(body)
                .build();
        AsyncComputation<TestHttp.Answer> computation =
                callback -> cluster.http().start(request).subscribe(callback);
        long sentMillis = nowMillis();
        return cluster.thread()
                .reactor()
                .submit(computation)
                .exceptionally(failure -> new TestHttp.Answer(0, failure.toString()))
                .thenApply(answer -> new Answered(node, answer.status(), answer.body(), nowMillis() - sentMillis));
    }

    /** Waits until a node answers a request for a model. */
    void awaitAnswer(String node, String model) {
        eventually(node + " answers for " + model, () -> ask(node, model).join().status() == 200);
    }

    /** Kills an engine and tells the check. */
    void killEngine(String engine) {
        cluster.process(engine).kill();
        invariants.died(engine, nowMillis());
    }

    /** Waits until an event of some engine is in a journal. */
    void awaitEvent(String what, Predicate<EngineEvent> wanted) {
        eventually(
                what,
                () -> journals().values().stream().flatMap(List::stream).anyMatch(entry -> wanted.test(entry.event())));
    }

    Map<String, List<Entry<EngineEvent>>> journals() {
        Map<String, List<Entry<EngineEvent>>> journals = new TreeMap<>();
        cluster.engineNames().forEach(engine -> journals.put(engine, cluster.engineJournal(engine)));
        return journals;
    }

    /** Returns how many loads of a model were begun. */
    long loads(String model) {
        return loadsBeside("", model);
    }

    /** Returns how many loads of a model were begun by engines other than the given one. */
    long loadsBeside(String engine, String model) {
        Map<String, List<Entry<EngineEvent>>> journals = journals();
        journals.remove(engine);
        return journals.values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.event() instanceof EngineEvent.StateChanged change
                        && change.artifact().equals(ArtifactId.model(model))
                        && change.state() == EngineEvent.State.LOADING)
                .count();
    }

    /** Fails where the journals show a violation. */
    void check() {
        assertThat(invariants.violations(journals())).isEmpty();
    }

    @Override
    public void close() {
        try (cluster) {
            check();
        }
    }
}
