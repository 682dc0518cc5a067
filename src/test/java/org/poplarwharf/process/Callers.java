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
 * Callers who send requests, one connection each, and keep every answer. Thread-safe.
 */
final class Callers implements AutoCloseable {
    private static final long ANSWER_LIMIT_SECONDS = 60;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ReactorThread thread = new ReactorThread();
    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpClient client;
    private final List<CallerAnswer> answers = new ArrayList<>();

    Callers() {
        client = thread.call(() -> HttpClient.builder(
                        thread.reactor(), DnsClient.create(thread.reactor(), InetAddress.getLoopbackAddress()))
                .withNoKeepAlive()
                .withReadWriteTimeout(Duration.ofSeconds(ANSWER_LIMIT_SECONDS))
                .build());
    }

    /** Sends a request to the address of a node; the answer is not kept. */
    CompletableFuture<CallerAnswer> send(String address, CallerRequest request) {
        return thread.reactor().submit(callback -> start(address, request).subscribe(callback));
    }

    /** Sends a request and waits for its answer. */
    CallerAnswer call(String address, CallerRequest request) {
        CallerAnswer answer = await(send(address, request));
        keep(answer);
        return answer;
    }

    /** Returns every answer that was kept. */
    synchronized List<CallerAnswer> answers() {
        return List.copyOf(answers);
    }

    static CallerAnswer await(CompletableFuture<CallerAnswer> answer) {
        try {
            return answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("a request has no final answer", e);
        }
    }

    /** Sends requests to nodes in turn, all at once, and waits for their answers. */
    List<CallerAnswer> callAll(List<String> addresses, List<CallerRequest> requests) {
        List<CompletableFuture<CallerAnswer>> open = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            open.add(send(addresses.get(i % addresses.size()), requests.get(i)));
        }
        List<CallerAnswer> all = awaitAll(open);
        all.forEach(this::keep);
        return all;
    }

    static List<CallerAnswer> awaitAll(List<CompletableFuture<CallerAnswer>> answers) {
        return answers.stream().map(Callers::await).toList();
    }

    @Override
    public void close() {
        thread.close();
    }

    /** Counts an answer among those that are checked. */
    synchronized void keep(CallerAnswer answer) {
        answers.add(answer);
    }

    private Promise<CallerAnswer> start(String address, CallerRequest request) {
        Exchange exchange = new Exchange(request, clock.nowMillis());
        return client.request(httpRequest(address, request)).then((response, e) -> {
            if (e != null) {
                return Promise.of(exchange.lost(e));
            }
            return response.takeBodyStream()
                    .streamTo(ChannelConsumers.ofConsumer(exchange::take))
                    .map((ignored, cut) -> exchange.ended(response, cut == null));
        });
    }

    private static HttpRequest httpRequest(String address, CallerRequest request) {
        String path = switch (request.kind()) {
            case COMPLETION, STREAM -> "/v1/chat/completions";
            case LOOKUP -> "/services/ledger/lookups";
            case CALL -> "/services/ledger/entries";
        };
        HttpRequest.Builder builder = HttpRequest.post("http://" + address + path)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("X-Request-Class"), request.requestClass())
                .withHeader(HttpHeaders.of("X-Request-Id"), "caller-" + request.number())
                .withHeader(HttpHeaders.of("X-Deadline-Millis"), Long.toString(request.deadlineMillis()));
        request.key().ifPresent(key -> builder.withHeader(HttpHeaders.of("Idempotency-Key"), key));
        return builder.withBody(request.body()).build();
    }

    /** One request and what has come of its answer. */
    private final class Exchange {
        private final CallerRequest request;
        private final long sentAtMillis;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        Exchange(CallerRequest request, long sentAtMillis) {
            this.request = request;
            this.sentAtMillis = sentAtMillis;
        }

        void take(ByteBuf buf) {
            body.writeBytes(buf.asArray());
        }

        CallerAnswer lost(Exception e) {
            boolean refused = e instanceof ConnectException || e.getCause() instanceof ConnectException;
            return answer(refused ? CallerAnswer.NOT_CONNECTED : CallerAnswer.LOST, "", "", "unknown", false);
        }

        CallerAnswer ended(HttpResponse response, boolean whole) {
            int status = response.getCode();
            String text = body.toString(StandardCharsets.UTF_8);
            if (status >= 400) {
                JsonNode problem = json(text);
                return answer(
                        status,
                        "",
                        problem.path("code").asText("unreadable"),
                        problem.path("ran").asText("unreadable"),
                        whole);
            }
            if (request.kind() == CallerRequest.Kind.STREAM) {
                return stream(text, whole);
            }
            String own = request.completion()
                    ? json(text).at("/choices/0/message/content").asText()
                    : json(text).path("bodyHash").asText();
            return answer(status, own, "", "yes", whole);
        }

        private CallerAnswer stream(String text, boolean closedInOrder) {
            StringBuilder tokens = new StringBuilder();
            boolean done = false;
            for (String line : text.split("\n")) {
                String data = line.startsWith("data: ") ? line.substring("data: ".length()) : "";
                if (data.equals("[DONE]")) {
                    done = true;
                    continue;
                }
                JsonNode event = data.isEmpty() ? MAPPER.missingNode() : json(data);
                if (event.has("error")) {
                    JsonNode error = event.path("error");
                    return answer(
                            200,
                            tokens.toString(),
                            error.path("code").asText(),
                            error.path("ran").asText(),
                            false);
                }
                tokens.append(event.at("/choices/0/delta/content").asText());
            }
            return answer(200, tokens.toString(), "", "yes", done && closedInOrder);
        }

        private CallerAnswer answer(int status, String text, String code, String ran, boolean whole) {
            return new CallerAnswer(
                    request, sentAtMillis, clock.nowMillis() - sentAtMillis, status, text, code, ran, whole);
        }

        private static JsonNode json(String text) {
            try {
                return MAPPER.readTree(text);
            } catch (IOException e) {
                return MAPPER.missingNode();
            }
        }
    }
}
