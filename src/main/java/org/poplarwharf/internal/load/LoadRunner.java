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
import org.poplarwharf.internal.response.VerifyingSocketInspector;

/**
 * Open-loop load generator: sends each request of a workload when it is due, whether or not earlier requests have ended, to
 * several nodes in turn.
 *
 * <p>Latencies count from the time at which a request was due. A stall of the sender therefore appears in the results
 * (no coordinated omission). Each instance is used for one run and by one thread, which runs the event loop.
 */
public final class LoadRunner {
    /** Extra wait beyond the longest deadline, so that late responses are still received and counted. */
    private static final long CLIENT_SLACK_MILLIS = 15_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<String> nodes;
    private final List<Arrival> arrivals;
    private final IntConsumer progress;
    private final List<RequestResult> results = new ArrayList<>();
    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final HttpClient client;
    private long startNanos;
    private int nextArrival;

    /**
     * Prepares a run.
     *
     * @param nodes addresses (host and port) of the nodes, used in turn
     * @param arrivals the workload, in order of due time
     * @param progress receives the number of finished requests after each one
     */
    public LoadRunner(List<String> nodes, List<Arrival> arrivals, IntConsumer progress) {
        this.nodes = List.copyOf(nodes);
        this.arrivals = List.copyOf(arrivals);
        this.progress = progress;
        long longestMillis =
                arrivals.stream().mapToLong(Arrival::deadlineMillis).max().orElse(0);
        DnsClient dns = DnsClient.create(eventloop, InetAddress.getLoopbackAddress());
        this.client = new VerifyingSocketInspector()
                .addTo(HttpClient.builder(eventloop, dns))
                .withReadWriteTimeout(Duration.ofMillis(longestMillis + CLIENT_SLACK_MILLIS))
                .build();
    }

    /** Sends all requests and returns their results in order of completion, once every request has ended. */
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
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atMillis() <= elapsedMillis()) {
            send(arrivals.get(nextArrival));
            nextArrival++;
        }
        if (nextArrival < arrivals.size()) {
            eventloop.delay(Math.max(1, arrivals.get(nextArrival).atMillis() - elapsedMillis()), this::sendDue);
        }
    }

    private void send(Arrival arrival) {
        String node = nodes.get(arrival.number() % nodes.size());
        client.request(request(node, arrival))
                .then(response -> readResponse(arrival, response), failure -> Promise.of(connectionLost(arrival)))
                .whenResult(this::finish);
    }

    private void finish(RequestResult result) {
        results.add(result);
        progress.accept(results.size());
        if (results.size() == arrivals.size()) {
            client.stop();
        }
    }

    private RequestResult connectionLost(Arrival arrival) {
        return new RequestResult(
                arrival, 0, "connection-lost", "unknown", false, false, -1, elapsedMillis() - arrival.atMillis());
    }

    private static HttpRequest request(String node, Arrival arrival) {
        boolean isCompletion = arrival.path().isEmpty();
        String url = "http://" + node
                + (isCompletion
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

    private Promise<RequestResult> readResponse(Arrival arrival, HttpResponse response) {
        BodyReader reader = new BodyReader(arrival, response);
        return reader.readAll(response.takeBodyStream())
                .map(ended -> reader.result(), failure -> reader.truncatedResult());
    }

    /** Reads one response body; keeps only the time of the first byte and the body's start and end. */
    private final class BodyReader {
        private static final int MAX_START_CHARS = 2_048;
        private static final String END_OF_STREAM = "data: [DONE]";

        private final Arrival arrival;
        private final int status;
        private final boolean isColdStart;
        private final StringBuilder start = new StringBuilder();
        private String tail = "";
        private long firstByteMillis = -1;

        /** Reads the head at once: the HTTP client uses its buffer again after the end of the body. */
        BodyReader(Arrival arrival, HttpResponse response) {
            this.arrival = arrival;
            this.status = response.getCode();
            this.isColdStart = "true".equals(response.getHeader(HttpHeaders.of("X-Cold-Start")));
        }

        Promise<Void> readAll(ChannelSupplier<ByteBuf> body) {
            return body.streamTo(io.activej.csp.consumer.ChannelConsumers.ofConsumer(this::accept));
        }

        private void accept(ByteBuf buffer) {
            String text = buffer.asString(StandardCharsets.UTF_8);
            if (firstByteMillis < 0 && !text.isEmpty()) {
                firstByteMillis = elapsedMillis() - arrival.atMillis();
            }
            if (start.length() < MAX_START_CHARS) {
                start.append(text);
            }
            String joined = tail + text;
            tail = joined.substring(Math.max(0, joined.length() - 2 * END_OF_STREAM.length()));
        }

        RequestResult result() {
            boolean isStream = arrival.path().isEmpty() && status == 200;
            boolean isWhole = !isStream || tail.contains(END_OF_STREAM);
            return result(isWhole);
        }

        RequestResult truncatedResult() {
            return result(false);
        }

        private RequestResult result(boolean isWhole) {
            boolean isRefused = status >= 400;
            return new RequestResult(
                    arrival,
                    status,
                    isRefused ? ProblemDocumentReader.readField(start.toString(), "code") : "",
                    isRefused ? ProblemDocumentReader.readField(start.toString(), "ran") : "yes",
                    isWhole,
                    isColdStart,
                    firstByteMillis,
                    elapsedMillis() - arrival.atMillis());
        }
    }
}
