package org.poplarwharf.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;

class ExampleConfigsTest {
    @ParameterizedTest
    @CsvSource({"halvorsen,4,6,4,30,60", "balkan,3,8,3,30,60", "quickstart,2,2,1,4,2"})
    void example_is_valid_and_has_the_expected_size(
            String name, int zones, int engines, int services, int models, int adapters) {
        ConfigMerger.MergeResult merged = ConfigMerger.merge(0, ConfigDirectory.read("examples/" + name));

        assertThat(merged.errorLines()).isEmpty();
        FleetConfig config = merged.config();
        assertThat(config.cells()).singleElement().satisfies(cell -> {
            assertThat(cell.name()).isEqualTo("main");
            assertThat(cell.zones()).hasSize(zones);
        });
        assertThat(config.targets())
                .filteredOn(t -> t.kind() == TargetKind.ENGINE)
                .hasSize(engines);
        assertThat(config.targets())
                .filteredOn(t -> t.kind() == TargetKind.SERVICE)
                .hasSize(services);
        assertThat(config.models()).hasSize(models);
        assertThat(config.models().stream().mapToInt(m -> m.adapters().size()).sum())
                .isEqualTo(adapters);
    }
}
