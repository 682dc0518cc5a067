package org.poplarwharf.internal.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.plugins.ArtifactId;

class LoadRunnerTest {
    private static final int FIRST_COLD_START = 3;
    private static final int COLD_START_COUNT = 500;

    private final Eventloop eventloop = Eventloop.create();
    private final Thread serverThread = new Thread(eventloop, "load-test-server");
    private HttpServer server;
    private String address;

    @BeforeEach
    void start_a_server() throws Exception {
        eventloop.keepAlive(true);
        serverThread.start();
        server = HttpServer.builder(eventloop, LoadRunnerTest::respond)
                .withListenAddress(new java.net.InetSocketAddress("127.0.0.1", 0))
                .build();
        eventloop.submit(server::listen).get();
        address = "127.0.0.1:" + server.getBoundAddresses().get(0).getPort();
    }

    @AfterEach
    void stop_the_server() throws Exception {
        eventloop.execute(server::close);
        eventloop.keepAlive(false);
        serverThread.join(5_000);
    }

    private static Promise<HttpResponse> respond(HttpRequest request) {
        String requestId = request.getHeader(HttpHeaders.of("X-Request-Id"));
        return switch (requestId) {
            case "load-0" ->
                HttpResponse.ok200()
                        .withHeader(HttpHeaders.of("X-Cold-Start"), "true")
                        .withPlainText("data: {}\n\ndata: [DONE]\n\n")
                        .toPromise();
            case "load-1" -> HttpResponse.ok200().withPlainText("data: {}\n\n").toPromise();
            case "load-2" ->
                HttpResponse.ofCode(503)
                        .withBody("{\"code\":\"overloaded\",\"ran\":\"no\"}".getBytes(StandardCharsets.UTF_8))
                        .toPromise();
            default ->
                HttpResponse.ok200()
                        .withHeader(HttpHeaders.of("X-Cold-Start"), "true")
                        .withPlainText("data: " + requestId.repeat(100) + "\n\ndata: [DONE]\n\n")
                        .toPromise();
        };
    }

    @Test
    void report_distinguishes_complete_truncated_and_refused_responses() {
        List<Arrival> arrivals = List.of(arrival(0), arrival(1), arrival(2));

        List<RequestResult> results = new LoadRunner(List.of(address), arrivals, finishedCount -> {}).run();

        LoadReport report = LoadReport.of(results);
        assertThat(report.requests()).isEqualTo(3);
        assertThat(report.good()).isEqualTo(1);
        assertThat(report.lost()).isEqualTo(1);
        assertThat(report.refused()).containsEntry("overloaded", 1);
        assertThat(report.coldStart().count()).isEqualTo(1);
    }

    @Test
    void every_cold_start_is_counted_although_buffers_of_earlier_responses_are_used_again() {
        List<Arrival> arrivals = IntStream.range(FIRST_COLD_START, FIRST_COLD_START + COLD_START_COUNT)
                .mapToObj(LoadRunnerTest::arrival)
                .toList();

        List<RequestResult> results = new LoadRunner(List.of(address), arrivals, finishedCount -> {}).run();

        assertThat(LoadReport.of(results).coldStart().count()).isEqualTo(COLD_START_COUNT);
    }

    @Test
    void unreachable_node_counts_as_lost_connection() {
        List<RequestResult> results =
                new LoadRunner(List.of("127.0.0.1:1"), List.of(arrival(0)), finishedCount -> {}).run();

        assertThat(results)
                .singleElement()
                .satisfies(result -> assertThat(result.receivedFinalResponse()).isFalse());
    }

    private static Arrival arrival(int number) {
        return new Arrival(
                number, number, ArtifactId.model("ledger"), "lookup", "rack", 2_000, 10, "POST", "", Optional.empty());
    }
}
