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
import org.poplarwharf.plugins.EngineDialect.Completion;
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

    private OrderReply order(OrderKind kind, ArtifactId artifact, long bytes, long number) {
        return thread.await(() -> dialect.send(engine.address(), new Order(kind, artifact, "v1", bytes, number)));
    }

    private EngineDialect.Report report() {
        return thread.await(() -> dialect.report(engine.address()));
    }

    private void load(ArtifactId artifact, long bytes, long number) {
        assertThat(order(OrderKind.LOAD, artifact, bytes, number)).isEqualTo(new OrderReply.Accepted());
        eventually(
                artifact + " is loaded",
                () -> report().held().stream()
                        .anyMatch(held -> held.artifact().equals(artifact) && held.state() == ArtifactState.LOADED));
    }

    private HttpRequest completion(String id, String body, int priority, int resumeAfter) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return dialect.completion(engine.address(), new Completion(id, MODEL, bytes, priority, resumeAfter, 10_000));
    }

    private <T extends EngineEvent> List<T> events(Class<T> type) {
        return thread.call(() -> engine.journal().events()).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    @Test
    void an_answer_is_whole_its_own_and_resumes_where_it_was_cut() {
        load(MODEL, 50, 1);
        String plain = "{\"model\":\"m\",\"id\":1}";
        String streamed = "{\"model\":\"m\",\"stream\":true}";
        byte[] streamedBytes = streamed.getBytes(StandardCharsets.UTF_8);

        assertThat(http.send(completion("r1", plain, 0, 0)).body())
                .contains(TokenSource.text(plain.getBytes(StandardCharsets.UTF_8), 0, TOKENS));
        String events = http.send(completion("r2", streamed, 0, 4)).body();

        assertThat(events).endsWith("data: [DONE]\n\n");
        assertThat(events).contains(TokenSource.token(streamedBytes, 4), TokenSource.token(streamedBytes, 5));
        assertThat(events).doesNotContain(TokenSource.token(streamedBytes, 3));
        assertThat(events(EngineEvent.RequestEnded.class))
                .containsExactly(
                        new EngineEvent.RequestEnded("r1", EngineEvent.End.ANSWERED, TOKENS),
                        new EngineEvent.RequestEnded("r2", EngineEvent.End.ANSWERED, 2));
    }

    @Test
    void a_model_that_is_not_loaded_is_not_run() {
        TestHttpClient.Response answer = http.send(completion("r1", "{\"model\":\"m\"}", 0, 0));

        assertThat(answer.status()).isEqualTo(404);
        assertThat(answer.body()).contains("\"not-loaded\"");
        assertThat(events(EngineEvent.RequestStarted.class)).isEmpty();
    }

    @Test
    void an_old_fencing_number_is_refused_only_by_an_engine_that_fences() {
        load(MODEL, 10, 5);
        assertThat(order(OrderKind.UNLOAD, MODEL, 10, 4)).isEqualTo(new OrderReply.Stale(5));

        restart(false, Optional.empty());
        load(MODEL, 10, 5);
        assertThat(order(OrderKind.UNLOAD, MODEL, 10, 4)).isEqualTo(new OrderReply.Accepted());
        eventually("the model is gone", () -> report().held().isEmpty());
        assertThat(report().nearCopies()).containsExactly(MODEL);
    }

    @Test
    void too_much_memory_is_taken_and_recorded_as_a_breach() {
        load(MODEL, 60, 1);
        load(ArtifactId.model("other"), 60, 2);

        assertThat(events(EngineEvent.Breached.class))
                .containsExactly(new EngineEvent.Breached(ArtifactId.model("other"), 120, 100));
        assertThat(report().usedBytes()).isEqualTo(120);
    }

    @Test
    void an_unload_ordered_in_mid_load_takes_effect_after_it() {
        thread.await(() -> dialect.send(engine.address(), new Order(OrderKind.LOAD, MODEL, "v1", 90, 1)));
        order(OrderKind.UNLOAD, MODEL, 90, 2);

        eventually(
                "the model came and went",
                () -> events(EngineEvent.StateChanged.class).stream()
                        .anyMatch(change -> change.state() == EngineEvent.State.ABSENT));
        assertThat(report().held()).isEmpty();
    }

    @Test
    void loads_go_through_the_store_and_fail_with_it() {
        StoreStandin store = thread.call(() ->
                StoreStandin.start(thread.reactor(), StandinAddresses.loopback(), new StoreSettings(1_000, 4, 10_000)));
        restart(true, Optional.of(store.address()));
        load(MODEL, 90, 1);
        assertThat(thread.call(() -> store.journal().events())).hasSize(2);

        thread.run(() -> store.faults().set(new StoreFaults(true, 1)));
        order(OrderKind.LOAD, ArtifactId.model("other"), 10, 2);

        eventually(
                "the load failed",
                () -> events(EngineEvent.StateChanged.class).stream()
                        .anyMatch(change -> change.state() == EngineEvent.State.LOAD_FAILED));
        thread.run(store::stop);
    }

    @Test
    void the_batch_is_bounded_and_waiting_requests_run_by_priority() {
        load(MODEL, 10, 1);
        String lasting = "{\"model\":\"m\",\"max_tokens\":100000}";
        String body = "{\"model\":\"m\"}";
        List<HttpResponse> held = List.of(open("a", lasting), open("b", lasting));
        Promise<TestHttpClient.Response> low = queue("low", body, 1, 1);
        Promise<TestHttpClient.Response> high = queue("high", body, 9, 2);
        queue("lowest", body, 0, 3);
        assertThat(started()).containsExactly("a", "b");
        assertThat(report().runningRequests()).isEqualTo(2);

        thread.run(() -> held.getFirst().takeBodyStream().closeEx(new IllegalStateException("the caller left")));

        thread.await(() -> Promises.all(List.of(low, high)));
        eventually("all have run", () -> started().size() == 5);
        assertThat(started()).containsExactly("a", "b", "high", "low", "lowest");
    }

    private HttpResponse open(String id, String body) {
        return thread.await(() -> http.sendStreaming(completion(id, body, 0, 0)));
    }

    private Promise<TestHttpClient.Response> queue(String id, String body, int priority, int queuedAfter) {
        Promise<TestHttpClient.Response> answer = thread.call(() -> http.sendAsync(completion(id, body, priority, 0)));
        eventually(id + " is queued", () -> report().queuedRequests() == queuedAfter);
        return answer;
    }

    private List<String> started() {
        return events(EngineEvent.RequestStarted.class).stream()
                .map(EngineEvent.RequestStarted::requestId)
                .toList();
    }

    @Test
    void a_closed_connection_cancels_the_request() {
        load(MODEL, 10, 1);
        String body = "{\"model\":\"m\",\"max_tokens\":100000}";

        thread.await(() -> http.sendStreaming(completion("r1", body, 0, 0)).then(response -> {
            response.takeBodyStream().closeEx(new IllegalStateException("the caller left"));
            return Promise.complete();
        }));

        eventually(
                "the request is cancelled",
                () -> events(EngineEvent.RequestEnded.class).stream()
                        .anyMatch(ended -> ended.end() == EngineEvent.End.CANCELLED));
    }

    @Test
    void a_marked_request_crashes_the_engine_and_cuts_every_stream() {
        load(MODEL, 10, 1);
        thread.run(() -> engine.faults().set(EngineFaults.crashOn("poison")));
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":100000}";

        assertThatThrownBy(() -> thread.await(() -> {
                    Promise<TestHttpClient.Response> cut = http.sendAsync(completion("r1", body, 0, 0));
                    return http.sendAsync(completion("r2", "{\"model\":\"m\",\"x\":\"poison\"}", 0, 0))
                            .then((answer, failure) -> cut);
                }))
                .isInstanceOf(Exception.class);

        assertThat(events(EngineEvent.Crashed.class)).hasSize(1);
        assertThat(catchThrowableOfType(PoplarWharfException.class, this::report)
                        .code())
                .isEqualTo(FailureCode.TARGET_UNREACHABLE);
    }

    @Test
    void a_death_in_mid_load_leaves_no_loaded_state() {
        thread.run(() -> engine.faults().set(EngineFaults.dieInLoad(5)));
        order(OrderKind.LOAD, MODEL, 100, 1);

        eventually("the engine died", () -> !events(EngineEvent.Crashed.class).isEmpty());
        assertThat(events(EngineEvent.StateChanged.class))
                .extracting(EngineEvent.StateChanged::state)
                .containsExactly(EngineEvent.State.LOADING);
    }

    @Test
    void a_stalled_answer_makes_two_tokens_and_never_ends_while_others_go_on() {
        load(MODEL, 10, 1);
        thread.run(() -> engine.faults().set(EngineFaults.stallNext(1)));
        String body = "{\"model\":\"m\"}";
        Promise<TestHttpClient.Response> stalled = thread.call(() -> http.sendAsync(completion("stalled", body, 0, 0)));
        eventually("the first has begun", () -> started().contains("stalled"));

        assertThat(http.send(completion("next", body, 0, 0)).status()).isEqualTo(200);

        assertThat(thread.call(stalled::isComplete)).isFalse();
        assertThat(events(EngineEvent.RequestEnded.class))
                .containsExactly(new EngineEvent.RequestEnded("next", EngineEvent.End.ANSWERED, TOKENS));
    }

    @Test
    void a_caller_that_left_while_queued_takes_no_place_for_long() throws IOException {
        load(MODEL, 10, 1);
        String lasting = "{\"model\":\"m\",\"max_tokens\":100000}";
        List<HttpResponse> held = List.of(open("a", lasting), open("b", lasting));
        InetSocketAddress address = StandinAddresses.parse(engine.address());
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nX-Request-Id: gone\r\nContent-Length: "
                    + lasting.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + lasting).getBytes(StandardCharsets.UTF_8));
            eventually("it is queued", () -> report().queuedRequests() == 1);
        }

        thread.run(() -> held.getFirst().takeBodyStream().closeEx(new IllegalStateException("the caller left")));

        eventually(
                "the place is free again",
                () -> events(EngineEvent.RequestEnded.class).stream()
                        .anyMatch(ended -> ended.requestId().equals("gone")));
    }

    @Test
    void a_report_says_that_the_engine_is_leaving() {
        thread.run(() -> engine.faults().set(new EngineFaults("", -1, false, 0, 1, true)));

        assertThat(report().leaving()).isTrue();
    }

    @Test
    void a_refused_load_says_so() {
        thread.run(() -> engine.faults().set(new EngineFaults("", -1, true, 0, 1, false)));

        assertThat(order(OrderKind.LOAD, MODEL, 1, 1)).isInstanceOf(OrderReply.Rejected.class);
    }
}
