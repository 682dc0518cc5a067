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
    void same_seed_generates_same_requests_and_different_seed_different_ones() {
        WorkloadSpec otherSeedSpec = new WorkloadSpec(8, 600_000, 20, 0.25, 1, 5, 500, 40);

        assertThat(WorkloadGenerator.generate(config(), SPEC)).isEqualTo(WorkloadGenerator.generate(config(), SPEC));
        assertThat(WorkloadGenerator.generate(config(), SPEC))
                .isNotEqualTo(WorkloadGenerator.generate(config(), otherSeedSpec));
    }

    @Test
    void requests_are_ordered_and_match_the_specified_rate_and_service_share() {
        List<Arrival> arrivals = WorkloadGenerator.generate(config(), SPEC);

        double expectedCount = 20 * 600.0;
        assertThat(arrivals).isSortedAccordingTo(java.util.Comparator.comparingLong(Arrival::atMillis));
        assertThat((double) arrivals.size()).isCloseTo(expectedCount, within(expectedCount * 0.2));
        long serviceCalls =
                arrivals.stream().filter(arrival -> !arrival.path().isEmpty()).count();
        assertThat((double) serviceCalls).isCloseTo(expectedCount / 4, within(expectedCount * 0.1));
    }

    @Test
    void non_repeatable_calls_have_unique_idempotency_keys() {
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
