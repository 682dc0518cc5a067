package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal;

/**
 * A running cluster with a published configuration, and a client that sends requests to it. The configuration has one
 * cell, a model {@code m} that may run on every engine, the service {@code ledger}, and the request classes {@code
 * standard}, {@code review} and {@code teller}.
 *
 * <p>Confined to one test thread.
 */
final class Fleet implements AutoCloseable {
    private static final String ENGINE_YAML =
            "  - {name: %s, kind: engine, address: \"%s\", zone: %s, memory: 40GiB, maxConcurrent: 8, fencing: true}\n";
    private static final String REMAINING_YAML = """
              - {name: service, kind: service, address: "%s", zone: z1, maxConcurrent: 64}
            cells:
              - {name: main, zones: [z1]}
            models:
              - {name: m, version: v1, size: 1GiB, replicas: %d, minReplicas: %d}
            services:
              - {name: ledger, targets: [service], nonRepeatable: [{method: POST, path: /entries}]}
            classes:
              - {name: teller, deadline: 5s, priority: 100}
              - {name: standard, deadline: 15s, priority: 50}
              - {name: review, deadline: 60s, priority: 0}
            """;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Cluster cluster;
    private final CallerClient callerClient = new CallerClient();
    private final AtomicInteger requestNumbers = new AtomicInteger();
    private final AtomicInteger nodeTurns = new AtomicInteger();

    private Fleet(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Starts the cluster with one replica per engine and waits until all nodes are ready and all replicas are loaded. */
    static Fleet start(Path folder, ClusterSettings settings) {
        return start(folder, settings, settings.engines());
    }

    static Fleet start(Path folder, ClusterSettings settings, int replicas) {
        Fleet fleet = new Fleet(Cluster.start(folder, settings));
        try {
            fleet.publish(folder, replicas);
            fleet.cluster.startNodes();
            fleet.cluster.nodeNames().forEach(fleet::awaitReady);
            fleet.awaitReplicas(replicas);
            return fleet;
        } catch (RuntimeException | AssertionError e) {
            fleet.close();
            throw e;
        }
    }

    Cluster cluster() {
        return cluster;
    }

    CallerClient callerClient() {
        return callerClient;
    }

    int nextRequestNumber() {
        return requestNumbers.getAndIncrement();
    }

    /** Returns the addresses of the nodes round robin. */
    String nextNodeAddress() {
        List<String> nodes = cluster.nodeNames();
        return address(nodes.get(Math.floorMod(nodeTurns.getAndIncrement(), nodes.size())));
    }

    /** Returns the address at which a node accepts requests from callers. */
    String address(String node) {
        return cluster.process(node).awaitListening().listen();
    }

    List<String> addresses() {
        return cluster.nodeNames().stream().map(this::address).toList();
    }

    boolean isReady(String node) {
        try {
            return cluster.http()
                            .get(cluster.process(node).awaitListening().admin() + "/ready")
                            .status()
                    == 200;
        } catch (RuntimeException e) {
            return false;
        }
    }

    void awaitReady(String node) {
        cluster.awaitOk(cluster.process(node).awaitListening().admin() + "/ready");
    }

    /** Returns the journal entries of all engines. */
    List<Journal.Entry<EngineEvent>> engineJournals() {
        List<Journal.Entry<EngineEvent>> all = new ArrayList<>();
        cluster.engineNames().forEach(engine -> all.addAll(cluster.engineJournal(engine)));
        return all;
    }

    /** Fails if the responses to callers contradict the journals of the targets. */
    void assertResponsesMatchJournals(List<VerifiableRequest> sent) {
        assertResponsesMatchJournals(sent, 0);
    }

    /** Fails if the responses contradict the journals; extends deadlines by the time for which a node was frozen. */
    void assertResponsesMatchJournals(List<VerifiableRequest> sent, long frozenMillis) {
        assertThat(ResponseChecker.check(
                        sent, callerClient.responses(), engineJournals(), cluster.serviceJournal(), frozenMillis))
                .isEmpty();
    }

    /** Returns the node whose status says that it holds the cell, or an empty string if there is none. */
    String holder() {
        return cluster.nodeNames().stream()
                .filter(node -> status(node).at("/cells/0/here").asBoolean())
                .findFirst()
                .orElse("");
    }

    /** Returns the status of a node from its administration API, or a missing node if it does not respond. */
    JsonNode status(String node) {
        try {
            String url = "http://" + cluster.process(node).awaitListening().admin() + "/status";
            HttpRequest request = HttpRequest.get(url)
                    .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                    .build();
            return MAPPER.readTree(cluster.http().send(request).body());
        } catch (IOException | RuntimeException e) {
            return MAPPER.missingNode();
        }
    }

    @Override
    public void close() {
        callerClient.close();
        cluster.close();
    }

    private void publish(Path folder, int replicas) {
        StringBuilder text = new StringBuilder("targets:\n");
        for (String engine : cluster.engineNames()) {
            text.append(ENGINE_YAML.formatted(engine, cluster.sharedLinkAddress(engine), cluster.zone(engine)));
        }
        text.append(REMAINING_YAML.formatted(cluster.sharedLinkAddress("service"), replicas, replicas));
        try {
            Path configuration = Files.createDirectory(folder.resolve("configuration"));
            Files.writeString(configuration.resolve("10-all.yaml"), text);
            String log = cluster.process("log").awaitListening().address();
            PoplarProcess.ExitResult result =
                    cluster.runCommand("config", "publish", "--log", log, configuration.toString());
            assertThat(result.exitCode()).describedAs(result.toString()).isZero();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void awaitReplicas(int replicas) {
        eventually(
                replicas + " replicas are loaded",
                () -> engineJournals().stream()
                                .filter(entry -> entry.event() instanceof EngineEvent.StateChanged change
                                        && change.state() == EngineEvent.State.LOADED)
                                .count()
                        >= replicas);
    }
}
