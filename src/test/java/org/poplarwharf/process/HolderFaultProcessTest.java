package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.VmList.VmState;

/**
 * Kills or pauses the lease holder of a cell at each step of a load, with engines that check fencing numbers and engines
 * that don't.
 */
class HolderFaultProcessTest {
    private static final List<String> ENGINES_WITH_FENCING = List.of("e1", "e2");
    private static final List<String> ENGINES_WITHOUT_FENCING = List.of("e3", "e4");

    private static final long MIN_RESERVED_MILLIS = 3_000;

    @TempDir
    private Path folder;

    /** The step of a load at which the holder fails. */
    private enum Step {
        BEFORE_INTENT,
        AFTER_INTENT,
        ORDER_IN_FLIGHT,
        AFTER_ORDER,
        BEFORE_EVIDENCE
    }

    private record TestCase(Step step, boolean fencing) {
        String model() {
            return (fencing ? "f-" : "p-") + step.ordinal();
        }

        List<String> engines() {
            return fencing ? ENGINES_WITH_FENCING : ENGINES_WITHOUT_FENCING;
        }
    }

    private static List<TestCase> cases(Step... steps) {
        List<TestCase> cases = new ArrayList<>();
        for (Step step : steps) {
            cases.add(new TestCase(step, true));
            cases.add(new TestCase(step, false));
        }
        return cases;
    }

    private CheckedFleet start(List<TestCase> cases) {
        List<FleetConfigFile.Model> models = cases.stream()
                .map(testCase -> new FleetConfigFile.Model(testCase.model(), "v1", 1, testCase.engines()))
                .toList();
        return CheckedFleet.start(folder, CheckedFleet.settings(3, 4, 2), FleetConfigFile.of("10s", models));
    }

    /** Sends a request for a cold model, and returns once its load has reached the step and is held there. */
    private static void holdLoadAtStep(CheckedFleet fleet, TestCase testCase, String holder, String observer) {
        ArtifactId artifact = ArtifactId.model(testCase.model());
        Cluster cluster = fleet.cluster();
        LinkFaults holdToUpstream =
                new LinkFaults(false, new LinkFaults.Direction(false, true, 0), LinkFaults.Direction.none());
        switch (testCase.step()) {
            case BEFORE_INTENT -> {
                fleet.awaitRenewal(holder);
                cluster.setLink(holder, "log", holdToUpstream);
                fleet.sendRequest(holder, testCase.model());
                eventually(
                        "the request is queued at " + holder, () -> fleet.hasWaitingRequests(holder, testCase.model()));
            }
            case AFTER_INTENT -> {
                fleet.awaitRenewal(holder);
                cluster.setLink(holder, "log", LinkFaults.holdingToClient());
                fleet.sendRequest(observer, testCase.model());
                eventually(
                        "the intent is in the log",
                        () -> fleet.slot(observer, testCase.model()).isPresent());
            }
            case ORDER_IN_FLIGHT -> {
                testCase.engines().forEach(engine -> cluster.setLink("any", engine, holdToUpstream));
                fleet.sendRequest(observer, testCase.model());
                eventually(
                        "the order has left " + holder,
                        () -> fleet.slot(holder, testCase.model())
                                .filter(slot -> cluster.openConnections(
                                                "any", slot.path("target").asText())
                                        >= 2)
                                .isPresent());
                testCase.engines().forEach(engine -> {
                    cluster.freezeLink("any", engine);
                    cluster.setLink("any", engine, LinkFaults.none());
                });
            }
            case AFTER_ORDER -> {
                testCase.engines().forEach(engine -> cluster.setLink("any", engine, LinkFaults.holdingToClient()));
                fleet.sendRequest(observer, testCase.model());
                fleet.awaitEngineEvent(
                        "the order has arrived",
                        event -> event instanceof EngineEvent.OrderReceived ordered
                                && ordered.order().artifact().equals(artifact));
            }
            case BEFORE_EVIDENCE -> {
                fleet.sendRequest(observer, testCase.model());
                fleet.awaitEngineEvent(
                        "the load has started",
                        event -> event instanceof EngineEvent.StateChanged change
                                && change.artifact().equals(artifact));
            }
        }
    }

    private static void releaseLinks(CheckedFleet fleet, TestCase testCase, String holder) {
        fleet.cluster().setLink(holder, "log", LinkFaults.none());
        testCase.engines().forEach(engine -> fleet.cluster().setLink("any", engine, LinkFaults.none()));
    }

    @Test
    @Tag("known-red")
    void a_holder_that_is_killed_at_any_step_of_a_load_leaves_no_second_replica() {
        List<TestCase> cases = cases(Step.values());
        try (CheckedFleet fleet = start(cases)) {
            for (TestCase testCase : cases) {
                String holder = fleet.awaitHolder();
                String observer = fleet.otherLiveNode(holder);
                holdLoadAtStep(fleet, testCase, holder, observer);

                String target = fleet.slot(observer, testCase.model())
                        .map(slot -> slot.path("target").asText())
                        .orElse("");
                fleet.cluster().process(holder).kill();
                releaseLinks(fleet, testCase, holder);
                fleet.awaitTakeover(observer, holder);
                if (testCase.step() == Step.ORDER_IN_FLIGHT) {
                    markLeavingWhileOrderInFlight(fleet, testCase, target, observer);
                } else {
                    fleet.awaitSuccess(observer, testCase.model());
                }
                fleet.cluster().startNode(holder);
                fleet.awaitReady(holder);
                fleet.awaitSuccess(holder, testCase.model());
                fleet.awaitSuccess(observer, testCase.model());
                awaitNoOpenOrder(fleet, observer, testCase);
                fleet.assertNoViolations();
                fleet.setVmState(target, VmState.LIVE);
            }
        }
    }

    /**
     * Marks the target as leaving while an order of the previous holder to it is in flight. The replica may move only when
     * the order can't take effect any more: immediately if the engine checks fencing numbers, else not before the order
     * arrives.
     */
    private static void markLeavingWhileOrderInFlight(
            CheckedFleet fleet, TestCase testCase, String target, String observer) {
        fleet.setVmState(target, VmState.LEAVING);
        if (testCase.fencing()) {
            fleet.awaitSuccess(observer, testCase.model());
        } else {
            fleet.sendRequest(observer, testCase.model());
            long endMillis = fleet.nowMillis() + MIN_RESERVED_MILLIS;
            eventually("the slot stayed reserved", () -> {
                assertThat(fleet.loadCountOnOtherEngines(target, testCase.model()))
                        .isZero();
                return fleet.nowMillis() > endMillis;
            });
        }
        testCase.engines().forEach(engine -> fleet.cluster().thawLink("any", engine));
    }

    @Test
    @Tag("known-red")
    void a_holder_that_is_paused_past_its_lease_sends_nothing_on_waking_and_its_late_order_does_no_harm() {
        List<TestCase> cases = cases(Step.AFTER_INTENT, Step.ORDER_IN_FLIGHT);
        try (CheckedFleet fleet = start(cases)) {
            for (TestCase testCase : cases) {
                String holder = fleet.awaitHolder();
                String observer = fleet.otherLiveNode(holder);
                holdLoadAtStep(fleet, testCase, holder, observer);
                JsonNode order = fleet.slot(observer, testCase.model())
                        .orElseThrow()
                        .path("openOrders")
                        .path(0);

                String target = fleet.slot(observer, testCase.model())
                        .orElseThrow()
                        .path("target")
                        .asText();
                long fencingNumber = order.path("intentOffset").asLong();
                fleet.cluster().process(holder).pause();
                releaseLinks(fleet, testCase, holder);
                fleet.awaitTakeover(observer, holder);
                if (testCase.step() == Step.ORDER_IN_FLIGHT) {
                    markLeavingWhileOrderInFlight(fleet, testCase, target, observer);
                    eventually("the late order has arrived", () -> fleet.hasOrderArrived(fencingNumber));
                } else {
                    fleet.awaitSuccess(observer, testCase.model());
                }
                fleet.cluster().process(holder).resume();
                if (testCase.step() == Step.ORDER_IN_FLIGHT) {
                    fleet.settleAsOperator(observer, fencingNumber);
                }
                fleet.awaitSuccess(observer, testCase.model());
                fleet.awaitSuccess(holder, testCase.model());
                awaitNoOpenOrder(fleet, observer, testCase);

                fleet.assertNoViolations();
                assertThat(fleet.hasOrderArrived(fencingNumber)).isEqualTo(testCase.step() == Step.ORDER_IN_FLIGHT);
                fleet.setVmState(target, VmState.LIVE);
            }
        }
    }

    private static void awaitNoOpenOrder(CheckedFleet fleet, String observer, TestCase testCase) {
        eventually(
                "no order for " + testCase.model() + " is open",
                () -> fleet.slot(observer, testCase.model())
                        .filter(slot -> slot.path("openOrders").isEmpty())
                        .isPresent());
    }
}
