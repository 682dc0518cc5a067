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
import org.poplarwharf.support.TestHttpClient;

/**
 * A running cluster with a published configuration, whose engine journals are checked against {@link FleetInvariants}.
 *
 * <p>{@link #close} fails if the journals show a violation. Confined to one test thread, unless a method says otherwise.
 */
final class CheckedFleet implements AutoCloseable {
    static final long ENGINE_MEMORY_BYTES = 4L << 30;

    /** Options with short leases, so that a takeover takes about a second. */
    static final List<String> SHORT_LEASE_NODE_OPTIONS = List.of(
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
    private static final String CELL_NAME = "main";

    private final Cluster cluster;
    private final Path folder;
    private final FleetInvariants invariants = new FleetInvariants(ENGINE_MEMORY_BYTES);
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<String, Integer> replicaLimits = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private int configurationCount;

    private CheckedFleet(Path folder, Cluster cluster) {
        this.folder = folder;
        this.cluster = cluster;
    }

    /** Returns settings whose loads take long enough for faults to occur during them, with the engine memory to check. */
    static ClusterSettings settings(int nodes, int engines, int enginesWithoutFencing) {
        return ClusterSettings.of(nodes, engines)
                .withEnginesWithoutFencing(enginesWithoutFencing)
                .withNodeOptions(SHORT_LEASE_NODE_OPTIONS)
                .withStoreOptions(List.of("--loads-per-second=50", "--bytes-per-second=1e9"))
                .withEngineOptions(List.of("--memory-bytes=" + ENGINE_MEMORY_BYTES, "--near-copies=0"));
    }

    /** Starts the cluster, publishes the configuration and waits until all nodes are ready and a node holds the lease. */
    static CheckedFleet start(Path folder, ClusterSettings settings, FleetConfigFile file) {
        CheckedFleet fleet = new CheckedFleet(folder, Cluster.start(folder, settings));
        try {
            fleet.publish(file);
            fleet.cluster.startNodes();
            fleet.cluster.nodeNames().forEach(fleet::awaitReady);
            fleet.awaitHolder();
            return fleet;
        } catch (RuntimeException | AssertionError e) {
            fleet.cluster.close();
            throw e;
        }
    }

    Cluster cluster() {
        return cluster;
    }

    /** Describes what the nodes and engines know, for the message of a failed test. */
    String trace() {
        return ClusterTrace.of(cluster);
    }

    FleetInvariants invariants() {
        return invariants;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Publishes a configuration, fails if it is rejected, and records its replica limits for the check. */
    void publish(FleetConfigFile file) {
        long beforePublishMillis = nowMillis();
        PoplarProcess.ExitResult result = publishUnchecked(file, "operator");
        assertThat(result.exitCode()).describedAs(result.toString()).isZero();
        recordReplicaLimits(file, beforePublishMillis, nowMillis());
    }

    /** Records the replica limits of a file: increased limits apply from the first time, decreased ones from the second. */
    void recordReplicaLimits(FleetConfigFile file, long increaseMillis, long decreaseMillis) {
        file.replicasByModel().forEach((model, replicas) -> {
            boolean isIncrease = replicaLimits.getOrDefault(model, 0) < replicas;
            invariants.recordReplicaLimit(
                    ArtifactId.model(model), replicas, isIncrease ? increaseMillis : decreaseMillis);
            replicaLimits.put(model, replicas);
        });
    }

    /** Applies a change to the VM list. */
    void updateVmList(Consumer<List<Vm>> change) {
        if (vms.isEmpty()) {
            vms.addAll(cluster.vms());
        }
        change.accept(vms);
        cluster.setVms(List.copyOf(vms));
    }

    /** Sets the state of an engine's VM to leaving or live. Does nothing if no VM has this name. */
    void setVmState(String engine, VmState state) {
        updateVmList(all -> all.replaceAll(
                vm -> vm.name().equals(engine) ? new Vm(vm.vmId(), engine, vm.address(), vm.zone(), state) : vm));
        invariants.recordLeaving(engine, state == VmState.LEAVING, nowMillis());
    }

    /** Returns whether an engine has received the order with this fencing number. */
    boolean hasOrderArrived(long fencingNumber) {
        return journals().values().stream()
                .flatMap(List::stream)
                .anyMatch(entry -> entry.event() instanceof EngineEvent.OrderReceived ordered
                        && ordered.order().fencingNumber() == fencingNumber);
    }

    /** Confirms as the operator that the order of an intent can't arrive any more. The intent may be settled already. */
    void settleAsOperator(String node, long intentOffset) {
        HttpRequest request = HttpRequest.post(
                        "http://" + cluster.process(node).awaitListening().admin() + "/slots/settle")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                .withBody("{\"cell\":\"" + CELL_NAME + "\",\"intentOffset\":" + intentOffset + "}")
                .build();
        assertThat(cluster.http().send(request).status()).isIn(200, 409);
    }

    Vm vm(String name) {
        return Stream.concat(vms.stream(), cluster.vms().stream())
                .filter(vm -> vm.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Publishes a configuration and returns the result, which may be a rejection. Thread-safe. */
    PoplarProcess.ExitResult publishUnchecked(FleetConfigFile file, String operator, String... options) {
        try {
            Path configuration = Files.createDirectory(folder.resolve(operator + "-" + nextConfigurationNumber()));
            Files.writeString(configuration.resolve("10-all.yaml"), file.toYaml(cluster));
            String log = cluster.process("log").awaitListening().address();
            List<String> arguments = new ArrayList<>(List.of("config", "publish", "--log", log));
            arguments.addAll(List.of("--operator", operator, configuration.toString()));
            arguments.addAll(List.of(options));
            return cluster.runCommand(arguments.toArray(String[]::new));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private synchronized int nextConfigurationNumber() {
        return configurationCount++;
    }

    void awaitReady(String node) {
        cluster.awaitOk(cluster.process(node).awaitListening().admin() + "/ready");
    }

    /** Returns the names of the nodes whose processes are running. */
    List<String> liveNodes() {
        return cluster.nodeNames().stream()
                .filter(node -> cluster.process(node).isAlive())
                .toList();
    }

    /** Returns a running node other than the given one. */
    String otherLiveNode(String node) {
        return liveNodes().stream()
                .filter(name -> !name.equals(node))
                .findFirst()
                .orElseThrow();
    }

    /** Waits until a running node reports that it holds the cell, and returns that node. */
    String awaitHolder() {
        String[] holder = new String[1];
        eventually("a node holds the cell", () -> {
            for (String node : liveNodes()) {
                if (cellStatus(node).map(cell -> cell.path("here").asBoolean()).orElse(false)) {
                    holder[0] = node;
                }
            }
            return holder[0] != null;
        });
        return holder[0];
    }

    /** Waits until the status of {@code observer} reports a holder other than the given one. */
    void awaitTakeover(String observer, String previousHolder) {
        eventually(
                observer + " reports a holder other than " + previousHolder,
                () -> cellStatus(observer)
                        .map(cell -> cell.path("holder").asText())
                        .filter(holder -> !holder.isEmpty() && !holder.equals(previousHolder))
                        .isPresent());
    }

    /** Waits until the holder has renewed its lease and has read the renewal back from the log. */
    void awaitRenewal(String holder) {
        long before = cluster.logJournal().size();
        eventually("the lease is renewed", () -> cluster.logJournal().size() > before);
        status(holder);
        status(holder);
    }

    /** Returns the status of a node, or empty if it doesn't respond. */
    Optional<JsonNode> status(String node) {
        HttpRequest request = HttpRequest.get(
                        "http://" + cluster.process(node).awaitListening().admin() + "/status")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                .build();
        try {
            TestHttpClient.Response response = cluster.http().send(request);
            return response.status() == 200 ? Optional.of(MAPPER.readTree(response.body())) : Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private Optional<JsonNode> cellStatus(String node) {
        return status(node).map(status -> status.path("cells").path(0));
    }

    /** Returns the slot of a model from the status of a node. */
    Optional<JsonNode> slot(String node, String model) {
        for (JsonNode slot : cellStatus(node).map(cell -> cell.path("slots")).orElse(MAPPER.createArrayNode())) {
            if (slot.path("artifact").asText().equals(model)) {
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** Returns whether requests for a model are queued at a node. */
    boolean hasWaitingRequests(String node, String model) {
        for (JsonNode queue : cellStatus(node).map(cell -> cell.path("queues")).orElse(MAPPER.createArrayNode())) {
            if (queue.path("artifact").asText().equals(model)
                    && queue.path("waiting").asInt() > 0) {
                return true;
            }
        }
        return false;
    }

    /** The outcome of a request; the status is 0 if the connection failed. */
    record RequestOutcome(String node, int status, String body, long latencyMillis) {}

    /** Sends a chat completion request for a model to a node. */
    CompletableFuture<RequestOutcome> sendRequest(String node, String model) {
        String url = "http://" + cluster.process(node).awaitListening().listen() + "/v1/chat/completions";
        String body = "{\"model\":\"" + model + "\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\""
                + System.nanoTime() + "\"}]}";
        HttpRequest request = HttpRequest.post(url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(TENANT, "staff")
                .withBody(body)
                .build();
        AsyncComputation<TestHttpClient.Response> computation =
                callback -> cluster.http().sendAsync(request).subscribe(callback);
        long sentMillis = nowMillis();
        return cluster.thread()
                .reactor()
                .submit(computation)
                .exceptionally(failure -> new TestHttpClient.Response(0, failure.toString()))
                .thenApply(response ->
                        new RequestOutcome(node, response.status(), response.body(), nowMillis() - sentMillis));
    }

    /** Sends requests for a model to a node until one succeeds. */
    void awaitSuccess(String node, String model) {
        RequestOutcome[] latest = new RequestOutcome[1];
        eventually(node + " answers for " + model, () -> "; latest " + latest[0] + trace(), () -> {
            latest[0] = sendRequest(node, model).join();
            return latest[0].status() == 200;
        });
    }

    /** Kills an engine and records its death for the check. */
    void killEngine(String engine) {
        cluster.process(engine).kill();
        invariants.recordEngineDeath(engine, nowMillis());
    }

    /** Waits until the journal of any engine contains a matching event. */
    void awaitEngineEvent(String description, Predicate<EngineEvent> condition) {
        eventually(
                description,
                () -> journals().values().stream()
                        .flatMap(List::stream)
                        .anyMatch(entry -> condition.test(entry.event())));
    }

    Map<String, List<Entry<EngineEvent>>> journals() {
        Map<String, List<Entry<EngineEvent>>> journals = new TreeMap<>();
        cluster.engineNames().forEach(engine -> journals.put(engine, cluster.engineJournal(engine)));
        return journals;
    }

    /** Returns how many loads of a model have started. */
    long loadCount(String model) {
        return loadCountOnOtherEngines("", model);
    }

    /** Returns how many loads of a model have started on engines other than the given one. */
    long loadCountOnOtherEngines(String engine, String model) {
        Map<String, List<Entry<EngineEvent>>> journals = journals();
        journals.remove(engine);
        return journals.values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.event() instanceof EngineEvent.StateChanged change
                        && change.artifact().equals(ArtifactId.model(model))
                        && change.state() == EngineEvent.State.LOADING)
                .count();
    }

    /** Fails if the journals show a violation. */
    void assertNoViolations() {
        assertThat(invariants.findViolations(journals())).isEmpty();
    }

    @Override
    public void close() {
        try (cluster) {
            assertNoViolations();
        }
    }
}
