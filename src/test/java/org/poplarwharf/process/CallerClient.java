package org.poplarwharf.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.support.ReactorThread;

/**
 * An HTTP client that plays callers: uses one connection per request and records the responses. Thread-safe.
 */
final class CallerClient implements AutoCloseable {
    private static final long RESPONSE_TIMEOUT_SECONDS = 60;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ReactorThread thread = new ReactorThread();
    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpClient client;
    private final List<CallerResponse> responses = new ArrayList<>();

    CallerClient() {
        client = thread.call(() -> HttpClient.builder(
                        thread.reactor(), DnsClient.create(thread.reactor(), InetAddress.getLoopbackAddress()))
                .withNoKeepAlive()
                .withReadWriteTimeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
                .build());
    }

    /** Sends a request to a node without recording the response. */
    CompletableFuture<CallerResponse> send(String address, VerifiableRequest request) {
        return thread.reactor().submit(callback -> start(address, request).subscribe(callback));
    }

    /** Sends a request, waits for its response and records it. */
    CallerResponse sendAndAwait(String address, VerifiableRequest request) {
        CallerResponse response = await(send(address, request));
        recordResponse(response);
        return response;
    }

    /** Returns all recorded responses. */
    synchronized List<CallerResponse> responses() {
        return List.copyOf(responses);
    }

    static CallerResponse await(CompletableFuture<CallerResponse> response) {
        try {
            return response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("a request got no final response", e);
        }
    }

    /** Sends requests to the nodes round robin and concurrently, waits for the responses and records them. */
    List<CallerResponse> sendAllAndAwait(List<String> addresses, List<VerifiableRequest> requests) {
        List<CompletableFuture<CallerResponse>> pending = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            pending.add(send(addresses.get(i % addresses.size()), requests.get(i)));
        }
        List<CallerResponse> all = awaitAll(pending);
        all.forEach(this::recordResponse);
        return all;
    }

    static List<CallerResponse> awaitAll(List<CompletableFuture<CallerResponse>> responses) {
        return responses.stream().map(CallerClient::await).toList();
    }

    @Override
    public void close() {
        thread.close();
    }

    /** Adds a response to those that a test checks. */
    synchronized void recordResponse(CallerResponse response) {
        responses.add(response);
    }

    private Promise<CallerResponse> start(String address, VerifiableRequest request) {
        ResponseCollector collector = new ResponseCollector(request, clock.nowMillis());
        return client.request(httpRequest(address, request)).then((response, e) -> {
            if (e != null) {
                return Promise.of(collector.onFailure(e));
            }
            return response.takeBodyStream()
                    .streamTo(ChannelConsumers.ofConsumer(collector::append))
                    .map((ignored, failure) -> collector.onEnd(response, failure == null));
        });
    }

    private static HttpRequest httpRequest(String address, VerifiableRequest request) {
        String path = switch (request.kind()) {
            case COMPLETION, STREAM -> "/v1/chat/completions";
            case LOOKUP -> "/services/ledger/lookups";
            case NON_REPEATABLE_CALL -> "/services/ledger/entries";
        };
        HttpRequest.Builder builder = HttpRequest.post("http://" + address + path)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("X-Request-Class"), request.requestClass())
                .withHeader(HttpHeaders.of("X-Request-Id"), "caller-" + request.number())
                .withHeader(HttpHeaders.of("X-Deadline-Millis"), Long.toString(request.deadlineMillis()));
        request.idempotencyKey().ifPresent(key -> builder.withHeader(HttpHeaders.of("Idempotency-Key"), key));
        return builder.withBody(request.body()).build();
    }

    /** Collects the response to one request. */
    private final class ResponseCollector {
        private final VerifiableRequest request;
        private final long sentAtMillis;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        ResponseCollector(VerifiableRequest request, long sentAtMillis) {
            this.request = request;
            this.sentAtMillis = sentAtMillis;
        }

        void append(ByteBuf buf) {
            body.writeBytes(buf.asArray());
        }

        CallerResponse onFailure(Exception e) {
            boolean connectionRefused = e instanceof ConnectException || e.getCause() instanceof ConnectException;
            return buildResponse(
                    connectionRefused ? CallerResponse.NOT_CONNECTED : CallerResponse.CONNECTION_LOST,
                    "",
                    "",
                    "unknown",
                    false,
                    e.toString());
        }

        CallerResponse onEnd(HttpResponse response, boolean complete) {
            int status = response.getCode();
            String text = body.toString(StandardCharsets.UTF_8);
            if (status >= 400) {
                JsonNode problem = parseJson(text);
                return buildResponse(
                        status,
                        "",
                        problem.path("code").asText("unreadable"),
                        problem.path("ran").asText("unreadable"),
                        complete,
                        text);
            }
            if (request.kind() == VerifiableRequest.Kind.STREAM) {
                return parseStream(text, complete);
            }
            String content = request.isCompletion()
                    ? parseJson(text).at("/choices/0/message/content").asText()
                    : parseJson(text).path("bodyHash").asText();
            return buildResponse(status, content, "", "yes", complete, "");
        }

        private CallerResponse parseStream(String text, boolean endedExplicitly) {
            StringBuilder tokens = new StringBuilder();
            boolean done = false;
            for (String line : text.split("\n")) {
                String data = line.startsWith("data: ") ? line.substring("data: ".length()) : "";
                if (data.equals("[DONE]")) {
                    done = true;
                    continue;
                }
                JsonNode event = data.isEmpty() ? MAPPER.missingNode() : parseJson(data);
                if (event.has("error")) {
                    JsonNode error = event.path("error");
                    return buildResponse(
                            200,
                            tokens.toString(),
                            error.path("code").asText(),
                            error.path("ran").asText(),
                            false,
                            error.toString());
                }
                tokens.append(event.at("/choices/0/delta/content").asText());
            }
            return buildResponse(200, tokens.toString(), "", "yes", done && endedExplicitly, "");
        }

        private CallerResponse buildResponse(
                int status, String text, String code, String ran, boolean complete, String problem) {
            return new CallerResponse(
                    request,
                    sentAtMillis,
                    clock.nowMillis() - sentAtMillis,
                    status,
                    text,
                    code,
                    ran,
                    complete,
                    problem);
        }

        private static JsonNode parseJson(String text) {
            try {
                return MAPPER.readTree(text);
            } catch (IOException e) {
                return MAPPER.missingNode();
            }
        }
    }
}
