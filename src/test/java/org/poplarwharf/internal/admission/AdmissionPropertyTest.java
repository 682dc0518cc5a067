package org.poplarwharf.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.poplarwharf.plugins.ArtifactId;

class AdmissionPropertyTest {
    private static final int MAX_IN_FLIGHT_COUNT = 3;
    private static final List<String> ACTIONS = List.of("answer", "lose", "die", "ask", "ask", "ask", "pass");

    @Property(tries = 100)
    void no_target_exceeds_its_concurrency_limit_and_every_request_completes(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int steps) {
        AdmissionFixture fixture = new AdmissionFixture("two-choices");
        Random random = new Random(seed);
        addReplicasOnTwoTargets(fixture);
        List<Promise<Grant>> requests = new ArrayList<>();
        List<Promise<Grant>> ended = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            runStep(fixture, random, requests, ended, step);
            assertConcurrencyLimitsHold(requests, ended);
        }
        fixture.advanceMillis(600_000);

        assertThat(requests).allMatch(Promise::isComplete);
    }

    private static void addReplicasOnTwoTargets(AdmissionFixture fixture) {
        for (String target : List.of("t1", "t2")) {
            fixture.replicas.addReplica(AdmissionFixture.MODEL, target, MAX_IN_FLIGHT_COUNT);
            fixture.replicas.addReplica(ArtifactId.model("other"), target, MAX_IN_FLIGHT_COUNT);
        }
    }

    private static void runStep(
            AdmissionFixture fixture,
            Random random,
            List<Promise<Grant>> requests,
            List<Promise<Grant>> ended,
            int step) {
        List<Promise<Grant>> inFlight = requests.stream()
                .filter(promise -> promise.isResult() && !ended.contains(promise))
                .toList();
        switch (ACTIONS.get(random.nextInt(ACTIONS.size()))) {
            case "ask" ->
                requests.add(fixture.admit(
                        random.nextBoolean() ? AdmissionFixture.MODEL : ArtifactId.model("other"),
                        random.nextBoolean() ? AdmissionFixture.LOOKUP : AdmissionFixture.REVIEW,
                        random.nextBoolean() ? "small" : "large",
                        1 + random.nextInt(5_000),
                        "f" + random.nextInt(10)));
            case "pass" -> fixture.advanceMillis(random.nextInt(500));
            case "die" -> {
                String target = "t" + (1 + random.nextInt(2));
                inFlight.stream()
                        .filter(promise -> promise.getResult().target().equals(target))
                        .forEach(ended::add);
                fixture.controller.onTargetDied(target, "death-" + step);
            }
            case "lose" ->
                inFlight.stream().findFirst().ifPresent(promise -> {
                    ended.add(promise);
                    fixture.loseConnection(promise);
                    fixture.controller.onTargetAlive(promise.getResult().target());
                });
            default ->
                inFlight.stream().findFirst().ifPresent(promise -> {
                    ended.add(promise);
                    fixture.answer(promise);
                });
        }
    }

    private static void assertConcurrencyLimitsHold(List<Promise<Grant>> requests, List<Promise<Grant>> ended) {
        Map<String, Long> inFlightByTarget = requests.stream()
                .filter(promise -> promise.isResult() && !ended.contains(promise))
                .collect(Collectors.groupingBy(promise -> promise.getResult().target(), Collectors.counting()));
        assertThat(inFlightByTarget.values()).allMatch(count -> count <= MAX_IN_FLIGHT_COUNT);
    }
}
