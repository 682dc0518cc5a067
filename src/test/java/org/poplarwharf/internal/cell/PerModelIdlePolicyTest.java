package org.poplarwharf.internal.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.idle.FixedIdlePolicy;
import org.poplarwharf.plugins.ArtifactId;

/** Checks that the keep-alive configured for a model takes precedence over the default of the node. */
class PerModelIdlePolicyTest {
    @Test
    void keep_alive_of_a_model_overrides_the_default_of_the_node() {
        FleetConfig config = new FleetConfig(
                1,
                List.of(),
                List.of(),
                List.of(model("own", OptionalLong.of(900_000)), model("other", OptionalLong.empty())),
                List.of(),
                List.of(),
                List.of());
        PerModelIdlePolicy policy = new PerModelIdlePolicy(FixedIdlePolicy::new, 300_000, () -> config);
        assertThat(policy.keepAliveMillis(ArtifactId.model("own"), 0)).hasValue(900_000);
        assertThat(policy.keepAliveMillis(ArtifactId.adapter("own", "a"), 0)).hasValue(900_000);
        assertThat(policy.keepAliveMillis(ArtifactId.model("other"), 0)).hasValue(300_000);
        assertThat(policy.keepAliveMillis(ArtifactId.model("gone"), 0)).hasValue(300_000);
    }

    private static ModelSpec model(String name, OptionalLong keepAliveMillis) {
        return new ModelSpec(name, "v1", 1, 1, 0, 1, List.of(), List.of(), List.of(), keepAliveMillis);
    }
}
