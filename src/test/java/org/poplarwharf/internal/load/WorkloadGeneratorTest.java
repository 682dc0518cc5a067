package org.poplarwharf.internal.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.CallSpec;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;

class WorkloadGeneratorTest {
    private static final WorkloadSpec SPEC = new WorkloadSpec(7, 600_000, 20, 0.25, 1, 5, 500, 40);

    @Test
    void the_same_seed_gives_the_same_requests_and_another_seed_others() {
        WorkloadSpec other = new WorkloadSpec(8, 600_000, 20, 0.25, 1, 5, 500, 40);

        assertThat(WorkloadGenerator.generate(config(), SPEC)).isEqualTo(WorkloadGenerator.generate(config(), SPEC));
        assertThat(WorkloadGenerator.generate(config(), SPEC))
                .isNotEqualTo(WorkloadGenerator.generate(config(), other));
    }

    @Test
    void requests_come_in_order_at_about_the_wanted_rate_and_share() {
        List<Arrival> arrivals = WorkloadGenerator.generate(config(), SPEC);

        double wanted = 20 * 600.0;
        assertThat(arrivals).isSortedAccordingTo(java.util.Comparator.comparingLong(Arrival::atMillis));
        assertThat((double) arrivals.size()).isCloseTo(wanted, within(wanted * 0.2));
        long calls = arrivals.stream().filter(a -> !a.path().isEmpty()).count();
        assertThat((double) calls).isCloseTo(wanted / 4, within(wanted * 0.1));
    }

    @Test
    void calls_that_may_not_be_repeated_carry_keys_of_their_own() {
        List<String> keys = WorkloadGenerator.generate(config(), SPEC).stream()
                .flatMap(arrival -> arrival.idempotencyKey().stream())
                .toList();

        assertThat(keys).isNotEmpty().doesNotHaveDuplicates();
    }

    static FleetConfig config() {
        ModelSpec model = new ModelSpec(
                "ledger",
                "v1",
                1,
                1,
                0,
                1,
                List.of(),
                List.of(),
                List.of(new AdapterSpec("audit", "v1", 1, 1)),
                OptionalLong.empty());
        return new FleetConfig(
                1,
                List.of(),
                List.of(),
                List.of(model),
                List.of(new ServiceSpec("bonds", List.of(), List.of(new CallSpec("POST", "/bonds")))),
                List.of(new ClassSpec("lookup", 2_000, 10, 100)),
                List.of(new TenantSpec("rack", 1, Optional.empty())));
    }
}
