package org.poplarwharf.internal.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;

/**
 * Checks what items of a merged configuration say about each other.
 *
 * <p>Used by one thread for one merge.
 */
final class ConfigReferences {
    private final ConfigFiles files;
    private final FleetConfig config;
    private final List<ConfigFault> faults;
    private final Map<String, String> cellOfZone = new HashMap<>();

    ConfigReferences(ConfigFiles files, FleetConfig config, List<ConfigFault> faults) {
        this.files = files;
        this.config = config;
        this.faults = faults;
    }

    void check() {
        files.items(ConfigSection.CELLS).forEach(this::checkCell);
        Map<String, String> targetOfAddress = new HashMap<>();
        files.items(ConfigSection.TARGETS).forEach(item -> checkTarget(item, targetOfAddress));
        files.items(ConfigSection.MODELS).forEach(this::checkModel);
        files.items(ConfigSection.ADAPTERS).forEach(this::checkAdapter);
        files.items(ConfigSection.SERVICES).forEach(this::checkService);
        files.items(ConfigSection.CLASSES).forEach(this::checkClass);
        files.items(ConfigSection.TENANTS).forEach(this::checkTenant);
    }

    private void checkCell(ConfigItem item) {
        CellSpec cell = config.cells().stream()
                .filter(c -> c.name().equals(item.id()))
                .findFirst()
                .orElseThrow();
        if (cell.zones().isEmpty()) {
            fault(item, "zones", "a cell needs at least one zone");
        }
        for (String zone : cell.zones()) {
            String other = cellOfZone.putIfAbsent(zone, cell.name());
            if (other != null) {
                fault(item, "zones", "zone '" + zone + "' belongs to cell '" + other + "'");
            }
        }
    }

    private void checkTarget(ConfigItem item, Map<String, String> targetOfAddress) {
        TargetSpec target = config.target(item.id()).orElseThrow();
        if (!cellOfZone.containsKey(target.zone())) {
            fault(item, "zone", "no cell has zone '" + target.zone() + "'");
        }
        String other = targetOfAddress.putIfAbsent(target.address(), target.name());
        if (other != null) {
            fault(item, "address", "target '" + other + "' has the same address");
        }
        boolean service = target.kind() == TargetKind.SERVICE;
        if (service && item.value("memory").isPresent()) {
            fault(item, "memory", "a service has no accelerator memory");
        }
    }

    private void checkModel(ConfigItem item) {
        ModelSpec model = config.model(item.id()).orElseThrow();
        if (model.minReplicas() > model.replicas()) {
            fault(item, "minReplicas", "is more than replicas, " + model.replicas());
        }
        for (String zone : model.zones()) {
            if (!cellOfZone.containsKey(zone)) {
                fault(item, "zones", "no cell has zone '" + zone + "'");
            }
        }
        for (String name : model.targets()) {
            checkTargetName(item, name, TargetKind.ENGINE);
        }
        boolean fits = config.targets().stream()
                .filter(target -> mayRun(model, target))
                .anyMatch(target -> target.memoryBytes() >= model.sizeBytes());
        if (model.replicas() > 0 && !fits) {
            fault(item, "size", "no engine that '" + model.name() + "' may run on has this much memory");
        }
    }

    private static boolean mayRun(ModelSpec model, TargetSpec target) {
        return target.kind() == TargetKind.ENGINE
                && (model.zones().isEmpty() || model.zones().contains(target.zone()))
                && (model.targets().isEmpty() || model.targets().contains(target.name()));
    }

    private void checkAdapter(ConfigItem item) {
        String modelName = item.id().substring(0, item.id().indexOf(':'));
        if (config.model(modelName).isEmpty()) {
            fault(item, ConfigSection.MODEL, "there is no model '" + modelName + "'");
        }
    }

    private void checkService(ConfigItem item) {
        ServiceSpec service = config.service(item.id()).orElseThrow();
        if (service.targets().isEmpty()) {
            fault(item, "targets", "a service needs at least one target");
        }
        for (String name : service.targets()) {
            checkTargetName(item, name, TargetKind.SERVICE);
        }
    }

    private void checkTargetName(ConfigItem item, String name, TargetKind kind) {
        Optional<TargetSpec> target = config.target(name);
        if (target.isEmpty()) {
            fault(item, "targets", "there is no target '" + name + "'");
        } else if (target.get().kind() != kind) {
            fault(item, "targets", "target '" + name + "' is of another kind");
        }
    }

    private void checkClass(ConfigItem item) {
        if (config.requestClass(item.id()).orElseThrow().deadlineMillis() <= 0) {
            fault(item, "deadline", "must be longer than zero");
        }
    }

    private void checkTenant(ConfigItem item) {
        Optional<String> name = config.tenant(item.id()).orElseThrow().defaultClass();
        if (name.isPresent() && config.requestClass(name.get()).isEmpty()) {
            fault(item, "class", "there is no class '" + name.get() + "'");
        }
    }

    private void fault(ConfigItem item, String key, String reason) {
        faults.add(item.placeOf(key).fault(reason));
    }
}
