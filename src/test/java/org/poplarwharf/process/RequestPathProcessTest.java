package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Budget: 10 seconds. */
class RequestPathProcessTest {
    private static final int ROUNDS = 20;

    @TempDir
    private Path folder;

    @Test
    void every_kind_of_request_is_answered_whole_at_every_node_and_repeats_of_a_call_get_its_answer() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 2))) {
            List<CallerRequest> sent = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                for (int node = 0; node < 3; node++) {
                    sent.add(CallerRequest.completion(fleet.nextNumber(), "m", 5));
                    sent.add(CallerRequest.stream(fleet.nextNumber(), "m", 20));
                    sent.add(CallerRequest.lookup(fleet.nextNumber()));
                    sent.add(CallerRequest.call(fleet.nextNumber(), "key-" + round));
                }
            }
            assertThat(fleet.callers().callAll(fleet.addresses(), sent)).allMatch(CallerAnswer::good);
            fleet.assertTruthful(sent);
        }
    }
}
