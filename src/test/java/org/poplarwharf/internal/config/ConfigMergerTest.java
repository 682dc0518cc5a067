package org.poplarwharf.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.poplarwharf.internal.config.ConfigMerger.MergeResult;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;

class ConfigMergerTest {
    private static final String BASE = """
            cells: [{name: main, zones: [a, b]}]
            targets:
              - {name: gpu-1, kind: engine, address: 127.0.0.1:1, zone: a, memory: 80GiB, fencing: true}
              - {name: app-1, kind: service, address: 127.0.0.1:2, zone: b}
            """;
    private static final String MODEL = "models: [{name: m, version: v1, size: 14GiB, replicas: 2, keepAlive: 30s}]";

    @Test
    void files_are_merged_into_one_configuration() {
        MergeResult merged = merge(
                BASE,
                MODEL,
                "adapters: [{model: m, name: x, version: v1, size: 100MiB}]",
                "services: [{name: s, targets: [app-1], nonRepeatable: [{method: POST, path: /pay}]}]",
                "classes: [{name: fast, deadline: 2s, priority: 9}]\ntenants: [{name: t, weight: 3, class: fast}]");

        assertThat(merged.errorLines()).isEmpty();
        ModelSpec model = merged.config().model("m").orElseThrow();
        assertThat(model.sizeBytes()).isEqualTo(14L << 30);
        assertThat(model.keepAliveMillis()).hasValue(30_000);
        assertThat(model.adapters()).extracting(FleetConfig.AdapterSpec::name).containsExactly("x");
        assertThat(merged.config().target("gpu-1").orElseThrow().fencing()).isTrue();
    }

    @Test
    void a_later_file_may_add_keys_but_needs_override_to_replace_one() {
        assertThat(merge(BASE, MODEL, "models: [{name: m, priority: 5}]").errorLines())
                .isEmpty();
        assertThat(merge(BASE, MODEL, "models: [{name: m, replicas: 3}]").errorLines())
                .singleElement()
                .asString()
                .startsWith("3.yaml: models[0].replicas: clashes with 2.yaml, models[0].replicas of 'm'");
        MergeResult merged = merge(BASE, MODEL, "models: [{name: m, replicas: 3, override: true}]");
        assertThat(merged.errorLines()).isEmpty();
        assertThat(merged.config().model("m").orElseThrow().replicas()).isEqualTo(3);
    }

    @Test
    void all_errors_in_all_files_are_reported_at_once() {
        MergeResult merged = merge(BASE, "modles: []", "models: [{name: m, version: v1, size: 14G, replica: 2}]");

        assertThat(merged.errorLines())
                .satisfiesExactlyInAnyOrder(
                        line -> assertThat(line).startsWith("2.yaml: modles: unknown section"),
                        line -> assertThat(line).startsWith("3.yaml: models[0].replica: unknown key"),
                        line -> assertThat(line).startsWith("3.yaml: models[0].size: '14G' is not a size"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    models: {a: b}                                            | models: must be a list
                    models: [x]                                               | models[0]: must have keys such as
                    models: [{version: v1, size: 1GiB}]                       | models[0].name: must be given
                    models: [{name: 'a:b', version: v1, size: 1GiB}]          | models[0].name: 'a:b' is not a name
                    models: [{name: m, size: 1GiB}]                           | models[0].version: must be given for 'm'
                    models: [{name: m, version: v1, size: 1GiB, replicas: x}] | models[0].replicas: 'x' is not a whole
                    models: [{name: m, version: v1, size: 1GiB, keepAlive: 5}]| models[0].keepAlive: '5' is not a duration
                    models: [{name: m, version: v1, size: 1GiB, minReplicas: 3}]| models[0].minReplicas: is more than
                    models: [{name: m, version: v1, size: 99GiB}]             | models[0].size: no engine that 'm' may
                    models: [{name: m, version: v1, size: 1GiB, zones: [z]}]  | models[0].zones: no cell has zone 'z'
                    models: [{name: m, version: v1, size: 1GiB, targets: [app-1]}]| models[0].targets: target 'app-1' is of
                    adapters: [{model: m, name: x, version: v1, size: 1MiB}]  | adapters[0].model: there is no model 'm'
                    targets: [{name: t, kind: gpu, address: 'h:1', zone: a, memory: 1GiB}]| targets[0].kind: 'gpu' is none of
                    targets: [{name: t, kind: engine, address: h, zone: a, memory: 1GiB}]| targets[0].address: 'h' is not
                    targets: [{name: t, kind: engine, address: 'h:1', zone: z, memory: 1GiB}]| targets[0].zone: no cell
                    targets: [{name: t, kind: service, address: '127.0.0.1:2', zone: a}]| targets[0].address: target
                    cells: [{name: other, zones: [a]}]                        | cells[0].zones: zone 'a' belongs to cell
                    services: [{name: s}]                                     | services[0].targets: a service needs
                    services: [{name: s, targets: [app-1], nonRepeatable: [{method: PAY, path: /x}]}]| services[0].nonRepeatable[0].method: 'PAY'
                    classes: [{name: c, deadline: 0s}]                        | classes[0].deadline: must be longer
                    tenants: [{name: t, class: c}]                            | tenants[0].class: there is no class 'c'
                    tenants: [{name: t}, {name: t}]                           | tenants[1]: 't' is listed twice
                    models: [                                                 | is not YAML
                    text                                                      | must contain sections
                    """)
    void an_invalid_file_is_reported_with_file_key_and_reason(String yaml, String error) {
        List<String> lines = merge(BASE, yaml).errorLines();

        assertThat(lines).hasSize(1);
        assertThat(lines.get(0)).startsWith("2.yaml: " + error);
    }

    private static MergeResult merge(String... contents) {
        TreeMap<String, String> files = new TreeMap<>();
        for (int i = 0; i < contents.length; i++) {
            files.put((i + 1) + ".yaml", contents[i]);
        }
        return ConfigMerger.merge(1, files);
    }
}
