package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends each kind of request to each node without faults. Time budget: 10 seconds. */
class RequestPathProcessTest {
    private static final int ROUND_COUNT = 20;

    @TempDir
    private Path folder;

    @Test
    @Tag("known-red")
    void every_kind_of_request_gets_a_complete_response_and_retries_of_a_call_get_its_response() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 2))) {
            List<VerifiableRequest> sent = new ArrayList<>();
            for (int round = 0; round < ROUND_COUNT; round++) {
                for (int node = 0; node < 3; node++) {
                    sent.add(VerifiableRequest.completion(fleet.nextRequestNumber(), "m", 5));
                    sent.add(VerifiableRequest.stream(fleet.nextRequestNumber(), "m", 20));
                    sent.add(VerifiableRequest.lookup(fleet.nextRequestNumber()));
                    sent.add(VerifiableRequest.nonRepeatableCall(fleet.nextRequestNumber(), "key-" + round));
                }
            }
            assertThat(fleet.callerClient().sendAllAndAwait(fleet.addresses(), sent))
                    .as(() -> ClusterTrace.of(fleet.cluster()))
                    .allMatch(CallerResponse::isSuccessful);
            fleet.assertResponsesMatchJournals(sent);
        }
    }
}
