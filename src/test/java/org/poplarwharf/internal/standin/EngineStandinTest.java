package org.poplarwharf.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.poplarwharf.support.Eventually.eventually;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.protocol.HttpEngineDialect;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.CompletionRequest;
import org.poplarwharf.plugins.EngineDialect.Order;
import org.poplarwharf.plugins.EngineDialect.OrderKind;
import org.poplarwharf.plugins.EngineDialect.OrderReply;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.TestHttpClient;

class EngineStandinTest {
    private static final ArtifactId MODEL = ArtifactId.model("m");
    private static final int TOKENS = 6;

    private final ReactorThread thread = new ReactorThread();
    private final TestHttpClient http = new TestHttpClient(thread);
    private final EngineDialect dialect = thread.call(() -> new HttpEngineDialect(thread.reactor()));
    private EngineStandin engine = engine(true, Optional.empty());

    @AfterEach
    void stop() {
        thread.run(engine::stop);
        thread.close();
    }

    private EngineStandin engine(boolean fencing, Optional<String> store) {
        EngineSettings settings = new EngineSettings(100, 2, 2, 2, TOKENS, fencing, 0, store, 1_000, 2, List.of(), 2);
        return thread.call(() -> EngineStandin.start(thread.reactor(), StandinAddresses.loopback(), settings));
    }

    private void restart(boolean fencing, Optional<String> store) {
        thread.run(engine::stop);
        engine = engine(fencing, store);
    }

    private OrderReply order(OrderKind kind, ArtifactId artifact, long bytes, long fencingNumber) {
        return thread.await(
                () -> dialect.sendOrder(engine.address(), new Order(kind, artifact, "v1", bytes, fencingNumber)));
    }

    private EngineDialect.Report report() {
        return thread.await(() -> dialect.report(engine.address()));
    }

    private void load(ArtifactId artifact, long bytes, long fencingNumber) {
        assertThat(order(OrderKind.LOAD, artifact, bytes, fencingNumber)).isEqualTo(new OrderReply.Accepted());
        eventually(
                artifact + " is loaded",
                () -> report().held().stream()
                        .anyMatch(held -> held.artifact().equals(artifact) && held.state() == ArtifactState.LOADED));
    }

    private HttpRequest completion(String id, String body, int priority, int resumeAfter) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return dialect.completionRequest(
                engine.address(), new CompletionRequest(id, MODEL, bytes, priority, resumeAfter, 10_000));
    }

    private <T extends EngineEvent> List<T> events(Class<T> type) {
        return thread.call(() -> engine.journal().events()).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    @Test
    void response_contains_its_own_tokens_and_resumes_after_the_given_token() {
        load(MODEL, 50, 1);
        String plainBody = "{\"model\":\"m\",\"id\":1}";
        String streamedBody = "{\"model\":\"m\",\"stream\":true}";
        byte[] streamedBytes = streamedBody.getBytes(StandardCharsets.UTF_8);

        assertThat(http.send(completion("r1", plainBody, 0, 0)).body())
                .contains(TokenGenerator.text(plainBody.getBytes(StandardCharsets.UTF_8), 0, TOKENS));
        String events = http.send(completion("r2", streamedBody, 0, 4)).body();

        assertThat(events).endsWith("data: [DONE]\n\n");
        assertThat(events).contains(TokenGenerator.token(streamedBytes, 4), TokenGenerator.token(streamedBytes, 5));
        assertThat(events).doesNotContain(TokenGenerator.token(streamedBytes, 3));
        assertThat(events(EngineEvent.RequestEnded.class))
                .containsExactly(
                        new EngineEvent.RequestEnded("r1", EngineEvent.End.ANSWERED, TOKENS),
                        new EngineEvent.RequestEnded("r2", EngineEvent.End.ANSWERED, 2));
    }

    @Test
    void request_for_a_model_that_is_not_loaded_is_refused() {
        TestHttpClient.Response response = http.send(completion("r1", "{\"model\":\"m\"}", 0, 0));

        assertThat(response.status()).isEqualTo(404);
        assertThat(response.body()).contains("\"not-loaded\"");
        assertThat(events(EngineEvent.RequestStarted.class)).isEmpty();
    }

    @Test
    void outdated_fencing_number_is_rejected_only_with_fencing_enabled() {
        load(MODEL, 10, 5);
        assertThat(order(OrderKind.UNLOAD, MODEL, 10, 4)).isEqualTo(new OrderReply.Stale(5));

        restart(false, Optional.empty());
        load(MODEL, 10, 5);
        assertThat(order(OrderKind.UNLOAD, MODEL, 10, 4)).isEqualTo(new OrderReply.Accepted());
        eventually("the model is unloaded", () -> report().held().isEmpty());
        assertThat(report().nearCopies()).containsExactly(MODEL);
    }

    @Test
    void load_beyond_the_memory_is_executed_and_journalled() {
        load(MODEL, 60, 1);
        load(ArtifactId.model("other"), 60, 2);

        assertThat(events(EngineEvent.MemoryExceeded.class))
                .containsExactly(new EngineEvent.MemoryExceeded(ArtifactId.model("other"), 120, 100));
        assertThat(report().usedBytes()).isEqualTo(120);
    }

    @Test
    void unload_ordered_during_a_load_takes_effect_after_the_load() {
        thread.await(() -> dialect.sendOrder(engine.address(), new Order(OrderKind.LOAD, MODEL, "v1", 90, 1)));
        order(OrderKind.UNLOAD, MODEL, 90, 2);

        eventually(
                "the model was loaded and unloaded",
                () -> events(EngineEvent.StateChanged.class).stream()
                        .anyMatch(change -> change.state() == EngineEvent.State.ABSENT));
        assertThat(report().held()).isEmpty();
    }

    @Test
    void loads_fetch_from_the_store_and_fail_when_the_store_fails() {
        StoreStandin store = thread.call(() ->
                StoreStandin.start(thread.reactor(), StandinAddresses.loopback(), new StoreSettings(1_000, 4, 10_000)));
        restart(true, Optional.of(store.address()));
        load(MODEL, 90, 1);
        assertThat(thread.call(() -> store.journal().events())).hasSize(2);

        thread.run(() -> store.faults().set(new StoreFaults(true, 1)));
        order(OrderKind.LOAD, ArtifactId.model("other"), 10, 2);

        eventually(
                "the load has failed",
                () -> events(EngineEvent.StateChanged.class).stream()
                        .anyMatch(change -> change.state() == EngineEvent.State.LOAD_FAILED));
        thread.run(store::stop);
    }

    @Test
    void batch_size_is_limited_and_queued_requests_run_in_order_of_priority() {
        load(MODEL, 10, 1);
        String longBody = "{\"model\":\"m\",\"max_tokens\":100000}";
        String body = "{\"model\":\"m\"}";
        List<HttpResponse> openResponses = List.of(openStream("a", longBody), openStream("b", longBody));
        Promise<TestHttpClient.Response> lowPriority = startQueued("low", body, 1, 1);
        Promise<TestHttpClient.Response> highPriority = startQueued("high", body, 9, 2);
        startQueued("lowest", body, 0, 3);
        assertThat(startedRequestIds()).containsExactly("a", "b");
        assertThat(report().runningRequests()).isEqualTo(2);

        thread.run(() -> openResponses
                .getFirst()
                .takeBodyStream()
                .closeEx(new IllegalStateException("the caller disconnected")));

        thread.await(() -> Promises.all(List.of(lowPriority, highPriority)));
        eventually("all requests have started", () -> startedRequestIds().size() == 5);
        assertThat(startedRequestIds()).containsExactly("a", "b", "high", "low", "lowest");
    }

    private HttpResponse openStream(String id, String body) {
        return thread.await(() -> http.sendStreaming(completion(id, body, 0, 0)));
    }

    private Promise<TestHttpClient.Response> startQueued(String id, String body, int priority, int queuedAfter) {
        Promise<TestHttpClient.Response> response =
                thread.call(() -> http.sendAsync(completion(id, body, priority, 0)));
        eventually(id + " is queued", () -> report().queuedRequests() == queuedAfter);
        return response;
    }

    private List<String> startedRequestIds() {
        return events(EngineEvent.RequestStarted.class).stream()
                .map(EngineEvent.RequestStarted::requestId)
                .toList();
    }

    @Test
    void closed_connection_cancels_the_request() {
        load(MODEL, 10, 1);
        String body = "{\"model\":\"m\",\"max_tokens\":100000}";

        thread.await(() -> http.sendStreaming(completion("r1", body, 0, 0)).then(response -> {
            response.takeBodyStream().closeEx(new IllegalStateException("the caller disconnected"));
            return Promise.complete();
        }));

        eventually(
                "the request is cancelled",
                () -> events(EngineEvent.RequestEnded.class).stream()
                        .anyMatch(ended -> ended.end() == EngineEvent.End.CANCELLED));
    }

    @Test
    void request_with_the_crash_marker_crashes_the_engine_and_closes_every_stream() {
        load(MODEL, 10, 1);
        thread.run(() -> engine.faults().set(EngineFaults.crashOn("poison")));
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":100000}";

        assertThatThrownBy(() -> thread.await(() -> {
                    Promise<TestHttpClient.Response> closedStream = http.sendAsync(completion("r1", body, 0, 0));
                    return http.sendAsync(completion("r2", "{\"model\":\"m\",\"x\":\"poison\"}", 0, 0))
                            .then((response, failure) -> closedStream);
                }))
                .isInstanceOf(Exception.class);

        assertThat(events(EngineEvent.Crashed.class)).hasSize(1);
        assertThat(catchThrowableOfType(PoplarWharfException.class, this::report)
                        .code())
                .isEqualTo(FailureCode.TARGET_UNREACHABLE);
    }

    @Test
    void crash_during_a_load_leaves_no_loaded_artifact() {
        thread.run(() -> engine.faults().set(EngineFaults.crashDuringLoad(5)));
        order(OrderKind.LOAD, MODEL, 100, 1);

        eventually(
                "the engine has crashed",
                () -> !events(EngineEvent.Crashed.class).isEmpty());
        assertThat(events(EngineEvent.StateChanged.class))
                .extracting(EngineEvent.StateChanged::state)
                .containsExactly(EngineEvent.State.LOADING);
    }

    @Test
    void stalled_response_never_ends_while_other_requests_complete() {
        load(MODEL, 10, 1);
        thread.run(() -> engine.faults().set(EngineFaults.stallNextResponses(1)));
        String body = "{\"model\":\"m\"}";
        Promise<TestHttpClient.Response> stalledResponse =
                thread.call(() -> http.sendAsync(completion("stalled", body, 0, 0)));
        eventually("the first request has started", () -> startedRequestIds().contains("stalled"));

        assertThat(http.send(completion("next", body, 0, 0)).status()).isEqualTo(200);

        assertThat(thread.call(stalledResponse::isComplete)).isFalse();
        assertThat(events(EngineEvent.RequestEnded.class))
                .containsExactly(new EngineEvent.RequestEnded("next", EngineEvent.End.ANSWERED, TOKENS));
    }

    @Test
    void queued_request_of_a_disconnected_caller_ends_soon_after_it_starts() throws IOException {
        load(MODEL, 10, 1);
        String longBody = "{\"model\":\"m\",\"max_tokens\":100000}";
        List<HttpResponse> openResponses = List.of(openStream("a", longBody), openStream("b", longBody));
        InetSocketAddress address = StandinAddresses.parse(engine.address());
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nX-Request-Id: gone\r\nContent-Length: "
                    + longBody.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + longBody).getBytes(StandardCharsets.UTF_8));
            eventually("the request is queued", () -> report().queuedRequests() == 1);
        }

        thread.run(() -> openResponses
                .getFirst()
                .takeBodyStream()
                .closeEx(new IllegalStateException("the caller disconnected")));

        eventually(
                "the request has ended",
                () -> events(EngineEvent.RequestEnded.class).stream()
                        .anyMatch(ended -> ended.requestId().equals("gone")));
    }

    @Test
    void report_shows_that_the_engine_is_leaving() {
        thread.run(() -> engine.faults().set(new EngineFaults("", -1, false, 0, 1, true)));

        assertThat(report().leaving()).isTrue();
    }

    @Test
    void refused_load_order_is_reported_as_rejected() {
        thread.run(() -> engine.faults().set(new EngineFaults("", -1, true, 0, 1, false)));

        assertThat(order(OrderKind.LOAD, MODEL, 1, 1)).isInstanceOf(OrderReply.Rejected.class);
    }
}
