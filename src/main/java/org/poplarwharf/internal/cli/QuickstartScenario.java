package org.poplarwharf.internal.cli;

import io.activej.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.cli.BlockingHttpClient.Request;
import org.poplarwharf.internal.cli.BlockingHttpClient.Response;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CallSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The requests that quickstart sends as a caller, with a check of each response.
 *
 * <p>Not thread-safe.
 */
final class QuickstartScenario {
    private static final int HTTP_OK = 200;
    private static final int MAX_TOKENS = 32;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(25);
    private static final String STREAM_END_MARKER = "data: [DONE]";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private final LocalFleet fleet;
    private final ModelSpec model;
    private final ServiceSpec service;
    private final CallSpec nonRepeatable;
    private final List<Step> steps = new ArrayList<>();

    QuickstartScenario(LocalFleet fleet, FleetConfig config) {
        this.fleet = fleet;
        this.model = smallestModel(config).orElseThrow(() -> Reporter.exampleUnreadable("without a model", null));
        this.service = config.services().stream()
                .filter(spec -> !spec.nonRepeatable().isEmpty())
                .findFirst()
                .orElseThrow(() -> Reporter.exampleUnreadable("without a service that has non-repeatable calls", null));
        this.nonRepeatable = service.nonRepeatable().get(0);
    }

    /** Returns the model with the smallest size, which loads fastest. */
    static Optional<ModelSpec> smallestModel(FleetConfig config) {
        return config.models().stream().min(Comparator.comparingLong(ModelSpec::sizeBytes));
    }

    /** A request, its response, and whether the response met the expectation. */
    record Step(String request, String node, Response response, boolean passed, String expectation) {}

    /** Sends all requests and returns the steps in order. */
    List<Step> run() {
        Response cold = exchange(0, completionRequest(model.name(), false));
        addStep("cold start of " + model.name(), 0, cold, cold.body().contains("\"choices\""), "complete response");
        Response warm = exchange(1, completionRequest(model.name(), true));
        addStep("warm request, streamed", 1, warm, warm.body().contains(STREAM_END_MARKER), "complete stream");
        Response lookup = exchange(2, new Request(HttpMethod.GET, "", servicePath("/lookup"), deadlineHeader(), ""));
        addStep("lookup at " + service.name(), 2, lookup, !lookup.body().isEmpty(), "response");
        sendNonRepeatableCallTwice();
        sendRequestForUnknownModel();
        return List.copyOf(steps);
    }

    private void sendNonRepeatableCallTwice() {
        String key = UUID.randomUUID().toString();
        Map<String, String> headers = new HashMap<>(deadlineHeader());
        headers.put("Idempotency-Key", key);
        Request call = new Request(
                HttpMethod.valueOf(nonRepeatable.method()),
                "",
                servicePath(nonRepeatable.pathPrefix()),
                headers,
                "{\"cask\":1042,\"action\":\"bond\"}");
        Response first = exchange(0, call);
        addStep("non-repeatable call", 0, first, fleet.standins().executedCallCount(key) == 1, "ran once");
        Response second = exchange(1, call);
        boolean replayed =
                second.body().equals(first.body()) && fleet.standins().executedCallCount(key) == 1;
        addStep("same call repeated", 1, second, replayed, "same response, still ran once");
    }

    private void sendRequestForUnknownModel() {
        Response rejected = exchange(2, completionRequest("no-such-model", false));
        boolean correct = rejected.status() == FailureCode.UNKNOWN_MODEL.httpStatus()
                && rejected.body().contains(FailureCode.UNKNOWN_MODEL.text());
        steps.add(new Step("unknown model", "n3", rejected, correct, "rejected, not run"));
    }

    private void addStep(String description, int node, Response response, boolean passed, String expectation) {
        steps.add(
                new Step(description, "n" + (node + 1), response, passed && response.status() == HTTP_OK, expectation));
    }

    private Response exchange(int node, Request request) {
        Request addressed = new Request(
                request.method(), fleet.listenAddress(node), request.path(), request.headers(), request.body());
        return BlockingHttpClient.exchange(addressed, RESPONSE_TIMEOUT);
    }

    private static Request completionRequest(String model, boolean stream) {
        String body = """
                {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"Draft a summary."}]}""".formatted(model, stream, MAX_TOKENS);
        return new Request(HttpMethod.POST, "", COMPLETIONS_PATH, deadlineHeader(), body);
    }

    private String servicePath(String path) {
        return "/services/" + service.name() + path;
    }

    private static Map<String, String> deadlineHeader() {
        return Map.of("X-Deadline-Millis", Long.toString(DEADLINE_MILLIS));
    }
}
