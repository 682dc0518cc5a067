package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Budget: 15 seconds. */
class RequestPathProcessTest {
    @TempDir
    private Path folder;

    @Test
    void every_kind_of_request_is_answered_whole_at_every_node_and_repeats_of_a_call_get_its_answer() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 2))) {
            List<CallerRequest> sent = new ArrayList<>();
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            for (int round = 0; round < 20; round++) {
                for (String node : fleet.addresses()) {
                    int number = sent.size();
                    List<CallerRequest> requests = List.of(
                            CallerRequest.completion(number, "m", 5),
                            CallerRequest.stream(number + 1, "m", 20),
                            CallerRequest.lookup(number + 2),
                            CallerRequest.call(number + 3, "key-" + round));
                    sent.addAll(requests);
                    requests.forEach(request -> answers.add(fleet.callers().send(node, request)));
                }
            }
            assertThat(Callers.awaitAll(answers)).allMatch(CallerAnswer::good);
            fleet.assertTruthful(sent);
        }
    }
}
