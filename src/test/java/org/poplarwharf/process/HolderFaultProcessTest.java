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
 * The holder of a cell dies or is paused at each step of a load, before engines that fence and engines that don't.
 */
class HolderFaultProcessTest {
    private static final List<String> FENCING = List.of("e1", "e2");
    private static final List<String> NOT_FENCING = List.of("e3", "e4");

    private static final long RESERVED_MILLIS = 3_000;

    @TempDir
    private Path folder;

    /** How far a load has come when the holder is struck. */
    private enum Step {
        BEFORE_INTENT,
        AFTER_INTENT,
        ORDER_ON_ITS_WAY,
        AFTER_ORDER,
        BEFORE_EVIDENCE
    }

    private record Case(Step step, boolean fencing) {
        String model() {
            return (fencing ? "f-" : "p-") + step.ordinal();
        }

        List<String> engines() {
            return fencing ? FENCING : NOT_FENCING;
        }
    }

    private static List<Case> cases(Step... steps) {
        List<Case> cases = new ArrayList<>();
        for (Step step : steps) {
            cases.add(new Case(step, true));
            cases.add(new Case(step, false));
        }
        return cases;
    }

    private FaultFleet start(List<Case> cases) {
        List<FleetFile.Model> models = cases.stream()
                .map(c -> new FleetFile.Model(c.model(), "v1", 1, c.engines()))
                .toList();
        return FaultFleet.start(folder, FaultFleet.settings(3, 4, 2), FleetFile.of("10s", models));
    }

    /** Sends a request for a cold model and returns once its load has come to the step, and is kept there. */
    private static void bringTo(FaultFleet fleet, Case now, String holder, String witness) {
        ArtifactId artifact = ArtifactId.model(now.model());
        Cluster cluster = fleet.cluster();
        LinkFaults holdToUpstream =
                new LinkFaults(false, new LinkFaults.Direction(false, true, 0), LinkFaults.Direction.none());
        switch (now.step()) {
            case BEFORE_INTENT -> {
                fleet.awaitRenewal(holder);
                cluster.setLink(holder, "log", holdToUpstream);
                fleet.ask(holder, now.model());
                eventually("the request waits at " + holder, () -> fleet.waits(holder, now.model()));
            }
            case AFTER_INTENT -> {
                fleet.awaitRenewal(holder);
                cluster.setLink(holder, "log", LinkFaults.holdingToClient());
                fleet.ask(witness, now.model());
                eventually(
                        "the intent is on the log",
                        () -> fleet.slot(witness, now.model()).isPresent());
            }
            case ORDER_ON_ITS_WAY -> {
                now.engines().forEach(engine -> cluster.setLink("any", engine, holdToUpstream));
                fleet.ask(witness, now.model());
                eventually(
                        "the order has left " + holder,
                        () -> fleet.slot(holder, now.model())
                                .filter(slot -> cluster.openConnections(
                                                "any", slot.path("target").asText())
                                        >= 2)
                                .isPresent());
                now.engines().forEach(engine -> {
                    cluster.freezeLink("any", engine);
                    cluster.setLink("any", engine, LinkFaults.none());
                });
            }
            case AFTER_ORDER -> {
                now.engines().forEach(engine -> cluster.setLink("any", engine, LinkFaults.holdingToClient()));
                fleet.ask(witness, now.model());
                fleet.awaitEvent(
                        "the order has arrived",
                        event -> event instanceof EngineEvent.OrderReceived ordered
                                && ordered.order().artifact().equals(artifact));
            }
            case BEFORE_EVIDENCE -> {
                fleet.ask(witness, now.model());
                fleet.awaitEvent(
                        "the load has begun",
                        event -> event instanceof EngineEvent.StateChanged change
                                && change.artifact().equals(artifact));
            }
        }
    }

    private static void letGo(FaultFleet fleet, Case now, String holder) {
        fleet.cluster().setLink(holder, "log", LinkFaults.none());
        now.engines().forEach(engine -> fleet.cluster().setLink("any", engine, LinkFaults.none()));
    }

    @Test
    @Tag("known-red")
    void a_holder_that_is_killed_at_any_step_of_a_load_leaves_no_second_replica() {
        List<Case> cases = cases(Step.values());
        try (FaultFleet fleet = start(cases)) {
            for (Case now : cases) {
                String holder = fleet.holder();
                String witness = fleet.nodeBeside(holder);
                bringTo(fleet, now, holder, witness);

                String target = fleet.slot(witness, now.model())
                        .map(slot -> slot.path("target").asText())
                        .orElse("");
                fleet.cluster().process(holder).kill();
                letGo(fleet, now, holder);
                fleet.awaitTakeover(witness, holder);
                if (now.step() == Step.ORDER_ON_ITS_WAY) {
                    leaveWhileOrderIsLate(fleet, now, target, witness);
                } else {
                    fleet.awaitAnswer(witness, now.model());
                }
                fleet.cluster().startNode(holder);
                fleet.awaitReady(holder);
                fleet.awaitAnswer(holder, now.model());
                fleet.awaitAnswer(witness, now.model());
                awaitNoOpenOrder(fleet, witness, now);
                fleet.check();
                fleet.mark(target, VmState.LIVE);
            }
        }
    }

    /**
     * The target is marked as leaving while an order of the former holder is on its way to it. The replica may move only
     * once the order can't take effect any more: at once before an engine that fences, else not before it has arrived.
     */
    private static void leaveWhileOrderIsLate(FaultFleet fleet, Case now, String target, String witness) {
        fleet.mark(target, VmState.LEAVING);
        if (now.fencing()) {
            fleet.awaitAnswer(witness, now.model());
        } else {
            fleet.ask(witness, now.model());
            long endMillis = fleet.nowMillis() + RESERVED_MILLIS;
            eventually("the slot stayed reserved", () -> {
                assertThat(fleet.loadsBeside(target, now.model())).isZero();
                return fleet.nowMillis() > endMillis;
            });
        }
        now.engines().forEach(engine -> fleet.cluster().thawLink("any", engine));
    }

    @Test
    void a_holder_that_is_paused_past_its_lease_sends_nothing_on_waking_and_its_late_order_does_no_harm() {
        List<Case> cases = cases(Step.AFTER_INTENT, Step.ORDER_ON_ITS_WAY);
        try (FaultFleet fleet = start(cases)) {
            for (Case now : cases) {
                String holder = fleet.holder();
                String witness = fleet.nodeBeside(holder);
                bringTo(fleet, now, holder, witness);
                JsonNode order = fleet.slot(witness, now.model())
                        .orElseThrow()
                        .path("openOrders")
                        .path(0);

                String target = fleet.slot(witness, now.model())
                        .orElseThrow()
                        .path("target")
                        .asText();
                long number = order.path("intentOffset").asLong();
                fleet.cluster().process(holder).pause();
                letGo(fleet, now, holder);
                fleet.awaitTakeover(witness, holder);
                if (now.step() == Step.ORDER_ON_ITS_WAY) {
                    leaveWhileOrderIsLate(fleet, now, target, witness);
                    eventually("the late order has arrived", () -> fleet.arrived(number));
                } else {
                    fleet.awaitAnswer(witness, now.model());
                }
                fleet.cluster().process(holder).resume();
                if (now.step() == Step.ORDER_ON_ITS_WAY) {
                    fleet.settleByWord(witness, number);
                }
                fleet.awaitAnswer(witness, now.model());
                fleet.awaitAnswer(holder, now.model());
                awaitNoOpenOrder(fleet, witness, now);

                fleet.check();
                assertThat(fleet.arrived(number)).isEqualTo(now.step() == Step.ORDER_ON_ITS_WAY);
                fleet.mark(target, VmState.LIVE);
            }
        }
    }

    private static void awaitNoOpenOrder(FaultFleet fleet, String witness, Case now) {
        eventually(
                "no order for " + now.model() + " is open",
                () -> fleet.slot(witness, now.model())
                        .filter(slot -> slot.path("openOrders").isEmpty())
                        .isPresent());
    }
}
