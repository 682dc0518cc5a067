package org.poplarwharf.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A configuration file of a test fleet. Immutable.
 *
 * @param cells number of cells, one per availability zone
 * @param deadline the deadline of a request, with its unit, such as {@code 8s}
 */
record FleetConfigFile(int cells, String deadline, List<Model> models) {
    static final String MODEL_SIZE = "1GiB";

    /** A model; {@code targets} are the engines on which it may run, or empty if it may run on any. */
    record Model(String name, String version, int replicas, List<String> targets) {}

    static FleetConfigFile of(String deadline, List<Model> models) {
        return new FleetConfigFile(1, deadline, models);
    }

    /** Returns a copy with a different replica count for one model. */
    FleetConfigFile withReplicas(String model, int replicas) {
        return new FleetConfigFile(
                cells,
                deadline,
                models.stream()
                        .map(m -> m.name().equals(model) ? new Model(m.name(), m.version(), replicas, m.targets()) : m)
                        .toList());
    }

    Map<String, Integer> replicasByModel() {
        Map<String, Integer> replicas = new LinkedHashMap<>();
        models.forEach(model -> replicas.put(model.name(), model.replicas()));
        return replicas;
    }

    String toYaml(Cluster cluster) {
        StringBuilder text = new StringBuilder("cells:\n");
        for (int i = 1; i <= cells; i++) {
            text.append("  - {name: %s, zones: [z%d]}%n".formatted(i == 1 ? "main" : "cell" + i, i));
        }
        text.append("targets:\n");
        for (String engine : cluster.engineNames()) {
            text.append("  - {name: %s, kind: engine, address: \"%s\", zone: %s, memory: %dB, fencing: %b}%n"
                    .formatted(
                            engine,
                            cluster.sharedLinkAddress(engine),
                            cluster.zone(engine),
                            CheckedFleet.ENGINE_MEMORY_BYTES,
                            cluster.supportsFencing(engine)));
        }
        text.append("models:\n");
        for (Model model : models) {
            String targets = model.targets().isEmpty() ? "" : ", targets: [" + String.join(", ", model.targets()) + "]";
            text.append("  - {name: %s, version: %s, size: %s, replicas: %d%s}%n"
                    .formatted(model.name(), model.version(), MODEL_SIZE, model.replicas(), targets));
        }
        text.append("classes:\n  - {name: usual, deadline: %s, priority: 50}%n".formatted(deadline));
        text.append("tenants:\n  - {name: staff, class: usual}\n");
        return text.toString();
    }
}
