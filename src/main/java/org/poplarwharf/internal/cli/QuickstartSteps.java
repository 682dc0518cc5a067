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
import org.poplarwharf.internal.cli.BlockingHttp.Answer;
import org.poplarwharf.internal.cli.BlockingHttp.Call;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CallSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.failure.Reporter;

/**
 * What quickstart does as a caller, and whether each answer was as it should be.
 *
 * <p>Used by one thread.
 */
final class QuickstartSteps {
    private static final int OK = 200;
    private static final int TOKENS = 32;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(25);
    private static final String END_OF_STREAM = "data: [DONE]";
    private static final String COMPLETIONS = "/v1/chat/completions";

    private final LocalFleet fleet;
    private final ModelSpec model;
    private final ServiceSpec service;
    private final CallSpec nonRepeatable;
    private final List<Step> steps = new ArrayList<>();

    QuickstartSteps(LocalFleet fleet, FleetConfig config) {
        this.fleet = fleet;
        this.model = smallest(config).orElseThrow(() -> Reporter.exampleUnreadable("holds no model", null));
        this.service = config.services().stream()
                .filter(spec -> !spec.nonRepeatable().isEmpty())
                .findFirst()
                .orElseThrow(
                        () -> Reporter.exampleUnreadable("holds no service with calls that may not be repeated", null));
        this.nonRepeatable = service.nonRepeatable().get(0);
    }

    /** Returns the model that loads soonest. */
    static Optional<ModelSpec> smallest(FleetConfig config) {
        return config.models().stream().min(Comparator.comparingLong(ModelSpec::sizeBytes));
    }

    /** One request and its verdict. */
    record Step(String what, String node, Answer answer, boolean good, String seen) {}

    /** Runs all steps and returns them in order. */
    List<Step> run() {
        Answer cold = exchange(0, completion(model.name(), false));
        add("cold start of " + model.name(), 0, cold, cold.body().contains("\"choices\""), "whole answer");
        Answer warm = exchange(1, completion(model.name(), true));
        add("warm request, streamed", 1, warm, warm.body().contains(END_OF_STREAM), "stream with its end");
        Answer lookup = exchange(2, new Call(HttpMethod.GET, "", servicePath("/lookup"), headers(), ""));
        add("lookup at " + service.name(), 2, lookup, !lookup.body().isEmpty(), "answer");
        sendTwice();
        refuse();
        return List.copyOf(steps);
    }

    private void sendTwice() {
        String key = UUID.randomUUID().toString();
        Map<String, String> headers = new HashMap<>(headers());
        headers.put("Idempotency-Key", key);
        Call call = new Call(
                HttpMethod.valueOf(nonRepeatable.method()),
                "",
                servicePath(nonRepeatable.pathPrefix()),
                headers,
                "{\"cask\":1042,\"action\":\"bond\"}");
        Answer first = exchange(0, call);
        add("non-repeatable call", 0, first, fleet.standins().callsRun(key) == 1, "ran once");
        Answer second = exchange(1, call);
        boolean same = second.body().equals(first.body()) && fleet.standins().callsRun(key) == 1;
        add("the same call again", 1, second, same, "same answer, still ran once");
    }

    private void refuse() {
        Answer refused = exchange(2, completion("no-such-model", false));
        boolean honest = refused.status() == FailureCode.UNKNOWN_MODEL.httpStatus()
                && refused.body().contains(FailureCode.UNKNOWN_MODEL.text());
        steps.add(new Step("unknown model", "n3", refused, honest, "refused, not run"));
    }

    private void add(String what, int node, Answer answer, boolean good, String seen) {
        steps.add(new Step(what, "n" + (node + 1), answer, good && answer.status() == OK, seen));
    }

    private Answer exchange(int node, Call call) {
        Call addressed = new Call(call.method(), fleet.listenAddress(node), call.path(), call.headers(), call.body());
        return BlockingHttp.exchange(addressed, TIMEOUT);
    }

    private static Call completion(String model, boolean stream) {
        String body = """
                {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"Draft a summary."}]}""".formatted(model, stream, TOKENS);
        return new Call(HttpMethod.POST, "", COMPLETIONS, headers(), body);
    }

    private String servicePath(String path) {
        return "/services/" + service.name() + path;
    }

    private static Map<String, String> headers() {
        return Map.of("X-Deadline-Millis", Long.toString(DEADLINE_MILLIS));
    }
}
