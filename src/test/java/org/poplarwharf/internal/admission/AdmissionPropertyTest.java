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
    private static final int PLACES = 3;
    private static final List<String> OUTCOMES = List.of("answer", "lose", "die", "ask", "ask", "ask", "pass");

    @Property(tries = 100)
    void no_target_gets_more_grants_than_places_and_each_request_ends_once(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int steps) {
        AdmissionFixture fixture = new AdmissionFixture("two-choices");
        Random random = new Random(seed);
        serveOnFourTargets(fixture);
        List<Promise<Grant>> asked = new ArrayList<>();
        List<Promise<Grant>> ended = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            step(fixture, random, asked, ended, step);
            assertPlacesHold(asked, ended);
        }
        fixture.advanceMillis(600_000);

        assertThat(asked).allMatch(Promise::isComplete);
    }

    private static void serveOnFourTargets(AdmissionFixture fixture) {
        for (String target : List.of("t1", "t2")) {
            fixture.replicas.addReplica(AdmissionFixture.MODEL, target, PLACES);
            fixture.replicas.addReplica(ArtifactId.model("other"), target, PLACES);
        }
    }

    private static void step(
            AdmissionFixture fixture, Random random, List<Promise<Grant>> asked, List<Promise<Grant>> ended, int step) {
        List<Promise<Grant>> open =
                asked.stream().filter(p -> p.isResult() && !ended.contains(p)).toList();
        switch (OUTCOMES.get(random.nextInt(OUTCOMES.size()))) {
            case "ask" ->
                asked.add(fixture.admit(
                        random.nextBoolean() ? AdmissionFixture.MODEL : ArtifactId.model("other"),
                        random.nextBoolean() ? AdmissionFixture.LOOKUP : AdmissionFixture.REVIEW,
                        random.nextBoolean() ? "small" : "large",
                        1 + random.nextInt(5_000),
                        "f" + random.nextInt(10)));
            case "pass" -> fixture.advanceMillis(random.nextInt(500));
            case "die" -> {
                String target = "t" + (1 + random.nextInt(2));
                open.stream().filter(p -> p.getResult().target().equals(target)).forEach(ended::add);
                fixture.admission.onTargetDied(target, "death-" + step);
            }
            case "lose" ->
                open.stream().findFirst().ifPresent(p -> {
                    ended.add(p);
                    fixture.loseConnection(p);
                    fixture.admission.onTargetAlive(p.getResult().target());
                });
            default ->
                open.stream().findFirst().ifPresent(p -> {
                    ended.add(p);
                    fixture.answer(p);
                });
        }
    }

    private static void assertPlacesHold(List<Promise<Grant>> asked, List<Promise<Grant>> ended) {
        Map<String, Long> inFlight = asked.stream()
                .filter(p -> p.isResult() && !ended.contains(p))
                .collect(Collectors.groupingBy(p -> p.getResult().target(), Collectors.counting()));
        assertThat(inFlight.values()).allMatch(count -> count <= PLACES);
    }
}
