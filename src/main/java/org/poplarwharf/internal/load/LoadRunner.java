package org.poplarwharf.internal.load;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Sends the requests of a workload when they are due, whether earlier ones were answered or not, to several nodes in turn.
 *
 * <p>Times count from when a request was due, so that a stall of the sender is not left out. Each instance is used for one
 * run, from one thread; the run has a thread of its own.
 */
public final class LoadRunner {
    private static final long CLIENT_SLACK_MILLIS = 15_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<String> nodes;
    private final List<Arrival> arrivals;
    private final IntConsumer progress;
    private final List<RequestResult> results = new ArrayList<>();
    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final HttpClient client;
    private long startNanos;
    private int next;

    /**
     * Prepares a run.
     *
     * @param nodes addresses of nodes, used in turn
     * @param progress told the number of finished requests
     */
    public LoadRunner(List<String> nodes, List<Arrival> arrivals, IntConsumer progress) {
        this.nodes = List.copyOf(nodes);
        this.arrivals = List.copyOf(arrivals);
        this.progress = progress;
        long longestMillis =
                arrivals.stream().mapToLong(Arrival::deadlineMillis).max().orElse(0);
        DnsClient dns = DnsClient.create(eventloop, InetAddress.getLoopbackAddress());
        this.client = HttpClient.builder(eventloop, dns)
                .withReadWriteTimeout(Duration.ofMillis(longestMillis + CLIENT_SLACK_MILLIS))
                .build();
    }

    /** Runs until every request has its result, and returns them in the order in which they ended. */
    public List<RequestResult> run() {
        startNanos = System.nanoTime();
        eventloop.post(this::sendDue);
        eventloop.run();
        return List.copyOf(results);
    }

    private long elapsedMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    private void sendDue() {
        while (next < arrivals.size() && arrivals.get(next).atMillis() <= elapsedMillis()) {
            send(arrivals.get(next));
            next++;
        }
        if (next < arrivals.size()) {
            eventloop.delay(Math.max(1, arrivals.get(next).atMillis() - elapsedMillis()), this::sendDue);
        }
    }

    private void send(Arrival arrival) {
        String node = nodes.get(arrival.number() % nodes.size());
        client.request(request(node, arrival))
                .then(response -> read(arrival, response), failure -> Promise.of(lost(arrival)))
                .whenResult(this::finish);
    }

    private void finish(RequestResult result) {
        results.add(result);
        progress.accept(results.size());
        if (results.size() == arrivals.size()) {
            client.stop();
        }
    }

    private RequestResult lost(Arrival arrival) {
        return new RequestResult(
                arrival, 0, "connection-lost", "unknown", false, false, -1, elapsedMillis() - arrival.atMillis());
    }

    private static HttpRequest request(String node, Arrival arrival) {
        boolean completion = arrival.path().isEmpty();
        String url = "http://" + node
                + (completion
                        ? "/v1/chat/completions"
                        : "/services/" + arrival.artifact().name() + arrival.path());
        HttpRequest.Builder builder = HttpRequest.builder(HttpMethod.valueOf(arrival.method()), url)
                .withHeader(HttpHeaders.of("X-Deadline-Millis"), Long.toString(arrival.deadlineMillis()))
                .withHeader(HttpHeaders.of("X-Request-Class"), arrival.requestClass())
                .withHeader(HttpHeaders.of("X-Tenant"), arrival.tenant())
                .withHeader(HttpHeaders.of("X-Request-Id"), "load-" + arrival.number());
        arrival.idempotencyKey().ifPresent(key -> builder.withHeader(HttpHeaders.of("Idempotency-Key"), key));
        if (!arrival.method().equals("GET")) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json").withBody(body(arrival));
        }
        return builder.build();
    }

    private static byte[] body(Arrival arrival) {
        String body = arrival.path().isEmpty()
                ? """
                {"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}""".formatted(arrival.artifact(), arrival.maxTokens(), arrival.number())
                : """
                {"entry":%d}""".formatted(arrival.number());
        return body.getBytes(StandardCharsets.UTF_8);
    }

    private Promise<RequestResult> read(Arrival arrival, HttpResponse response) {
        BodyReader reader = new BodyReader(arrival);
        return reader.readAll(response.takeBodyStream())
                .map(ended -> reader.result(response), failure -> reader.cutOff(response));
    }

    /** Reads one body and keeps what its result needs: the time of the first byte, its beginning and its end. */
    private final class BodyReader {
        private static final int KEPT_BYTES = 2_048;
        private static final String END_OF_STREAM = "data: [DONE]";

        private final Arrival arrival;
        private final StringBuilder beginning = new StringBuilder();
        private String end = "";
        private long firstByteMillis = -1;

        BodyReader(Arrival arrival) {
            this.arrival = arrival;
        }

        Promise<Void> readAll(ChannelSupplier<ByteBuf> body) {
            return body.streamTo(io.activej.csp.consumer.ChannelConsumers.ofConsumer(this::take));
        }

        private void take(ByteBuf buffer) {
            String text = buffer.asString(StandardCharsets.UTF_8);
            if (firstByteMillis < 0 && !text.isEmpty()) {
                firstByteMillis = elapsedMillis() - arrival.atMillis();
            }
            if (beginning.length() < KEPT_BYTES) {
                beginning.append(text);
            }
            String joined = end + text;
            end = joined.substring(Math.max(0, joined.length() - 2 * END_OF_STREAM.length()));
        }

        RequestResult result(HttpResponse response) {
            boolean stream = arrival.path().isEmpty() && response.getCode() == 200;
            boolean whole = !stream || end.contains(END_OF_STREAM);
            return result(response, whole);
        }

        RequestResult cutOff(HttpResponse response) {
            return result(response, false);
        }

        private RequestResult result(HttpResponse response, boolean whole) {
            boolean refused = response.getCode() >= 400;
            return new RequestResult(
                    arrival,
                    response.getCode(),
                    refused ? ProblemText.field(beginning.toString(), "code") : "",
                    refused ? ProblemText.field(beginning.toString(), "ran") : "yes",
                    whole,
                    "true".equals(response.getHeader(HttpHeaders.of("X-Cold-Start"))),
                    firstByteMillis,
                    elapsedMillis() - arrival.atMillis());
        }
    }
}
