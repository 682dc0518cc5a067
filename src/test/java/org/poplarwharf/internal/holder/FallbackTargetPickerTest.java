package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.limit.TargetLimits;

/** A node without a holder and four targets, of which the last holder may have found the first to be slow. */
class FallbackTargetPickerTest {
    private static final int TARGET_COUNT = 4;
    private static final double SLOW_LOG = Math.log(2);

    private final FleetView view = new FleetView();
    private final TargetSpeeds speeds = new TargetSpeeds((targetId, slow, estimate) -> {});
    private final FallbackTargetPicker picker =
            new FallbackTargetPicker(view, new TargetLimits(() -> false, (target, requestsPerSecond) -> {}), speeds);

    @BeforeEach
    void addTargets() {
        for (int i = 0; i < TARGET_COUNT; i++) {
            view.put(target("t" + i));
        }
    }

    @Test
    void slow_target_gets_half_the_share_of_the_others() {
        restoreSpeeds(SLOW_LOG);

        assertThat(pick(14)).containsEntry("t0", 2).containsEntry("t1", 4);
    }

    @Test
    void even_targets_get_even_shares() {
        restoreSpeeds(0);

        assertThat(pick(8)).containsEntry("t0", 2).containsEntry("t1", 2);
    }

    private void restoreSpeeds(double firstRatioLog) {
        List<TargetSpeeds.Summary> summaries = new ArrayList<>();
        for (int i = 0; i < TARGET_COUNT; i++) {
            summaries.add(new TargetSpeeds.Summary("t" + i, 1, "v1", i == 0 ? firstRatioLog : 0, 0.1, 31));
        }
        speeds.restore(summaries, view::target, 0);
    }

    /** Picks targets for requests that all run at the same time, and returns the number of picks by target. */
    private Map<String, Integer> pick(int count) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            Target picked = picker.pick(request("q" + i), id -> counts.getOrDefault(id, 0), 0)
                    .orElseThrow();
            counts.merge(picked.id(), 1, Integer::sum);
        }
        return counts;
    }

    private static DispatchRequest request(String key) {
        RequestTraits traits = new RequestTraits(
                key,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        return new DispatchRequest(
                key, "z1", "lm", traits, 0, 5_000, 1_000, false, Set.of(), Optional.empty(), Optional.empty(), 0);
    }

    private static Target target(String id) {
        return new Target(
                id,
                1,
                1,
                "lm",
                new InetSocketAddress("127.0.0.1", 1),
                "z1",
                8,
                false,
                OptionalLong.empty(),
                "v1",
                List.of(),
                Set.of(),
                Set.of());
    }
}
