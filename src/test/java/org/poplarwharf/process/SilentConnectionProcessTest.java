package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Makes all open connections silent permanently while new connections work. Guards against a node that keeps using dead
 * connections. Time budget: 20 seconds.
 */
class SilentConnectionProcessTest {
    private static final long WARM_UP_MILLIS = 1_000;
    private static final long RECOVERY_MILLIS = 6_000;
    private static final long AFTER_RECOVERY_MILLIS = 2_000;
    private static final double REQUESTS_PER_SECOND = 30;

    @TempDir
    private Path folder;

    private enum LinkGroup {
        TARGETS,
        NODES,
        LOG,
        ALL
    }

    private record Link(String from, String to) {}

    private static List<Link> linksOf(Fleet fleet, LinkGroup group) {
        List<Link> linksOf = new ArrayList<>();
        List<String> nodes = fleet.cluster().nodeNames();
        if (group == LinkGroup.TARGETS || group == LinkGroup.ALL) {
            fleet.cluster().engineNames().forEach(engine -> linksOf.add(new Link("any", engine)));
            linksOf.add(new Link("any", "service"));
        }
        if (group == LinkGroup.NODES || group == LinkGroup.ALL) {
            nodes.forEach(node -> linksOf.add(new Link("any", node)));
            nodes.forEach(from ->
                    nodes.stream().filter(to -> !to.equals(from)).forEach(to -> linksOf.add(new Link(from, to))));
        }
        if (group == LinkGroup.LOG || group == LinkGroup.ALL) {
            nodes.forEach(node -> linksOf.add(new Link(node, "log")));
        }
        return linksOf;
    }

    private static VerifiableRequest request(int number) {
        return switch (number % 4) {
            case 0 -> VerifiableRequest.completion(number, "m", 10);
            case 1 -> VerifiableRequest.stream(number, "m", 20);
            case 2 -> VerifiableRequest.lookup(number);
            default -> VerifiableRequest.nonRepeatableCall(number, "silent-" + number);
        };
    }

    @Test
    @Tag("known-red")
    void requests_succeed_again_within_seconds_after_all_connections_go_silent() {
        checkRecovery(LinkGroup.ALL);
    }

    @Test
    @Tag("known-red")
    void requests_succeed_again_within_seconds_after_connections_to_the_log_go_silent() {
        checkRecovery(LinkGroup.LOG);
    }

    @ParameterizedTest
    @EnumSource(names = {"TARGETS", "NODES"})
    void requests_succeed_again_within_seconds_after_one_group_of_connections_goes_silent(LinkGroup group) {
        checkRecovery(group);
    }

    private void checkRecovery(LinkGroup group) {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 2))) {
            FixedRateTraffic traffic = FixedRateTraffic.start(
                    fleet, fleet::nextNodeAddress, SilentConnectionProcessTest::request, REQUESTS_PER_SECOND);
            FixedRateTraffic.sleepMillis(WARM_UP_MILLIS);
            linksOf(fleet, group).forEach(link -> fleet.cluster().silenceLink(link.from(), link.to()));
            int firstSilentIndex = traffic.sentCount();
            FixedRateTraffic.sleepMillis(RECOVERY_MILLIS);
            int firstRecoveredIndex = traffic.sentCount();
            List<CallerResponse> responses = traffic.stopAfter(AFTER_RECOVERY_MILLIS);
            long failedCount = responses.subList(firstSilentIndex, firstRecoveredIndex).stream()
                    .filter(response -> !response.isSuccessful())
                    .count();
            System.out.printf(
                    "silent %s: %d of %d requests failed in the first %d ms%n",
                    group, failedCount, firstRecoveredIndex - firstSilentIndex, RECOVERY_MILLIS);
            assertThat(responses.subList(firstRecoveredIndex, responses.size())).allMatch(CallerResponse::isSuccessful);
            fleet.assertResponsesMatchJournals(traffic.sentRequests());
        }
    }
}
