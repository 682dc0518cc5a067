package org.poplarwharf.internal.entry;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.claim.ClaimService;
import org.poplarwharf.internal.config.ConfigView;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeSettings;
import org.poplarwharf.internal.kernel.TestSettings;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.place.PermitRequest;
import org.poplarwharf.internal.protocol.HttpEngineDialect;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.PluginRegistry;

/** An entry role on real event loops, with test doubles for admission, configuration, cells and peers. */
final class EntryFixture implements AutoCloseable, NodeContext, PluginRegistry {
    static final long PROGRESS_TIMEOUT_MILLIS = 300;
    private static final long TEST_TIMEOUT_MILLIS = 10_000;

    final FakeAdmission admission = new FakeAdmission();
    final FakeConfig config = new FakeConfig();
    final FakeCells cells = new FakeCells();
    final EntryRole role;
    private final Eventloop control = startLoop("control");
    private final List<Eventloop> traffic;
    private final Map<Class<?>, Object> services = new HashMap<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    EntryFixture() {
        this(true);
    }

    EntryFixture(boolean ready) {
        this(ready, 1);
    }

    /** Starts a role whose connections go to the traffic threads in turn. */
    EntryFixture(boolean ready, int trafficThreads) {
        config.ready = ready;
        traffic = IntStream.range(0, trafficThreads)
                .mapToObj(i -> startLoop("traffic"))
                .toList();
        registerService(AdmissionClient.class, admission);
        registerService(ConfigView.class, config);
        NoPeers peers = new NoPeers();
        registerService(CellView.class, cells);
        registerService(PeerNetwork.class, peers);
        CellRecord.Author self = new CellRecord.Author("n1", 1);
        registerService(
                ClaimService.class,
                new ClaimService(
                        control, clock(), cells, () -> Optional.of(admission), (p, c) -> null, self, 3_600_000));
        role = new EntryRole(this);
        runOnControlThread(role::start);
    }

    private static Eventloop startLoop(String name) {
        Eventloop loop = Eventloop.builder().withThreadName(name).build();
        loop.keepAlive(true);
        new Thread(loop, name).start();
        return loop;
    }

    <T> T runOnControlThread(Supplier<Promise<T>> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        control.execute(() -> task.get().whenComplete((value, e) -> {
            if (e == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(e);
            }
        }));
        return result.orTimeout(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        control.execute(() -> role.drain().whenComplete(() -> done.complete(null)));
        return done.orTimeout(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the address that callers connect to. */
    String listenAddress() {
        return role.listenAddress();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + role.listenAddress() + path))
                .timeout(Duration.ofMillis(TEST_TIMEOUT_MILLIS));
    }

    HttpRequest.Builder completion(String body) {
        return request("/v1/chat/completions")
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<java.io.InputStream>> openStream(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofInputStream());
    }

    @Override
    public void close() {
        runOnControlThread(role::stop);
        traffic.forEach(loop -> loop.execute(loop::breakEventloop));
        control.execute(control::breakEventloop);
        client.shutdownNow();
    }

    @Override
    public NodeSettings settings() {
        NodeSettings s = TestSettings.create(Optional.empty());
        return new NodeSettings(
                s.nodeId(),
                s.vmId(),
                s.zone(),
                s.listenAddress(),
                s.peerAddress(),
                s.adminAddress(),
                s.adminToken(),
                s.peers(),
                s.logAddress(),
                s.vmListAddress(),
                s.logProtocol(),
                s.vmListProtocol(),
                s.engineDialect(),
                s.replicaSelector(),
                s.idlePolicy(),
                1,
                s.leaseMillis(),
                s.maxClockDriftMillis(),
                s.leaseRenewMillis(),
                s.enginePollMillis(),
                s.keepAliveMillis(),
                PROGRESS_TIMEOUT_MILLIS,
                5_000,
                s.storeLoadsPerSecond(),
                s.storeMaxConcurrentLoads(),
                10_000,
                3_600_000,
                Optional.empty(),
                0,
                1_800_000);
    }

    @Override
    public Eventloop controlLoop() {
        return control;
    }

    @Override
    public List<Eventloop> trafficLoops() {
        return traffic;
    }

    @Override
    public MonotonicClock clock() {
        return MonotonicClock.system();
    }

    @Override
    public PluginRegistry plugins() {
        return this;
    }

    @Override
    public MetricRegistry metrics() {
        return metrics;
    }

    @Override
    public long incarnation() {
        return 1;
    }

    @Override
    public <T> void registerService(Class<T> type, T service) {
        services.put(type, service);
    }

    @Override
    public <T> Optional<T> findService(Class<T> type) {
        return Optional.ofNullable(services.get(type)).map(type::cast);
    }

    @Override
    public <T> void register(Class<T> extensionPoint, String name, T implementation) {
        registerService(extensionPoint, implementation);
    }

    @Override
    public <T> Optional<T> find(Class<T> extensionPoint, String name) {
        return extensionPoint == EngineDialect.Factory.class
                ? Optional.of(extensionPoint.cast(HttpEngineDialect.factory()))
                : Optional.empty();
    }

    @Override
    public SortedSet<String> names(Class<?> extensionPoint) {
        return new TreeSet<>();
    }

    /**
     * Grants permits for the queued targets in turn. When the queue is empty, permit requests fail if a refusal is set,
     * and wait otherwise.
     */
    static final class FakeAdmission implements AdmissionClient {
        final Queue<String> targetAddresses = new ArrayDeque<>();
        final List<PermitRequest> permitRequests = new CopyOnWriteArrayList<>();
        final List<String> cancelledRequestIds = new CopyOnWriteArrayList<>();
        final List<Outcome> releasedOutcomes = new CopyOnWriteArrayList<>();
        volatile Optional<PoplarWharfException> refusal = Optional.empty();
        private final Map<String, SettablePromise<Permit>> waiting = new HashMap<>();

        @Override
        public Promise<Permit> acquire(PermitRequest request) {
            permitRequests.add(request);
            String address = targetAddresses.poll();
            if (address != null) {
                return Promise.of(permit(address));
            }
            if (refusal.isPresent()) {
                return Promise.ofException(refusal.get());
            }
            SettablePromise<Permit> permitPromise = new SettablePromise<>();
            waiting.put(request.admissionRequest().requestId(), permitPromise);
            return permitPromise;
        }

        private Permit permit(String address) {
            Grant grant = new Grant("g" + permitRequests.size(), "t" + permitRequests.size(), address, 0, false);
            return new Permit(Optional.of("c"), Optional.empty(), grant);
        }

        @Override
        public void cancel(String requestId) {
            cancelledRequestIds.add(requestId);
            SettablePromise<Permit> cancelled = waiting.remove(requestId);
            if (cancelled != null) {
                cancelled.trySetException(new IllegalStateException("cancelled"));
            }
        }

        @Override
        public void release(Permit permit, Outcome outcome, long serviceMillis, long firstByteMillis) {
            releasedOutcomes.add(outcome);
        }
    }

    /** A configuration with one model, one service with a non-repeatable call, and one request class. */
    static final class FakeConfig implements ConfigView {
        volatile boolean ready = true;

        @Override
        public FleetConfig current() {
            return new FleetConfig(
                    1,
                    List.of(),
                    List.of(),
                    List.of(new FleetConfig.ModelSpec(
                            "llama", "v1", 1, 1, 0, 0, List.of(), List.of(), List.of(), OptionalLong.empty())),
                    List.of(new FleetConfig.ServiceSpec(
                            "ledger", List.of(), List.of(new FleetConfig.CallSpec("POST", "/confirm")))),
                    List.of(new FleetConfig.ClassSpec("teller", 5_000, 5, 10)),
                    List.of());
        }

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public void onChange(Consumer<FleetConfig> listener) {
            listener.accept(current());
        }
    }

    /** Cells without a holder. */
    static final class FakeCells implements CellView {
        /** The cell of each call. */
        volatile Optional<String> callCell = Optional.empty();

        final AtomicInteger lookupCount = new AtomicInteger();

        @Override
        public List<String> cellsFor(ArtifactId artifact, String zone) {
            return List.of();
        }

        @Override
        public Optional<String> cellForCall(String callKey) {
            lookupCount.incrementAndGet();
            return callCell;
        }

        @Override
        public Optional<Holder> holder(String cell) {
            return Optional.empty();
        }

        @Override
        public Optional<AdmissionController> localAdmission(String cell) {
            return Optional.empty();
        }

        @Override
        public Optional<RecordStream<CellRecord>> stream(String cell) {
            return Optional.empty();
        }

        @Override
        public List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact) {
            return List.of();
        }

        @Override
        public boolean isCondemned(String fingerprint) {
            return false;
        }
    }

    private static final class NoPeers implements PeerNetwork {
        @Override
        public boolean send(String peerAddress, PeerMessage message) {
            return false;
        }

        @Override
        public List<String> connectedAddresses() {
            return List.of();
        }

        @Override
        public void addListener(Listener listener) {}
    }
}
