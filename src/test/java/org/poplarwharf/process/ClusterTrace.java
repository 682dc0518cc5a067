package org.poplarwharf.process;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.support.TestHttpClient;

/**
 * Describes a cluster for the message of a failed test: what each node knows of the lease, the slots, the waiting requests
 * and its peers, and the latest events of the engines and the log.
 *
 * <p>A process that does not respond is named as such. Stateless.
 */
final class ClusterTrace {
    private static final int LATEST_EVENT_COUNT = 12;

    private ClusterTrace() {}

    static String of(Cluster cluster) {
        Stream<String> nodes = cluster.nodeNames().stream().map(node -> node + ": " + status(cluster, node));
        Stream<String> engines = cluster.engineNames().stream()
                .map(engine -> engine + ": " + (cluster.process(engine).isAlive() ? "" : "ended, ")
                        + latest(cluster.engineJournal(engine)));
        Stream<String> log = Stream.of("log: " + latest(cluster.logJournal()));
        return Stream.of(nodes, engines, log)
                .flatMap(lines -> lines)
                .collect(Collectors.joining("\n  ", "\n  at " + System.nanoTime() / 1_000_000 + " ms\n  ", "\n"));
    }

    private static String status(Cluster cluster, String node) {
        PoplarProcess process = cluster.process(node);
        if (!process.isAlive()) {
            return "ended";
        }
        try {
            HttpRequest request = HttpRequest.get(
                            "http://" + process.awaitListening().admin() + "/status")
                    .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Cluster.ADMIN_TOKEN)
                    .build();
            TestHttpClient.Response response = cluster.http().send(request);
            return response.status() + " " + response.body();
        } catch (RuntimeException | AssertionError e) {
            return "no response, " + e;
        }
    }

    private static <E> String latest(List<Journal.Entry<E>> entries) {
        return entries.stream()
                .skip(Math.max(0, entries.size() - LATEST_EVENT_COUNT))
                .map(entry -> entry.atMillis() + " ms " + entry.event())
                .collect(Collectors.joining(", "));
    }
}
