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
 * Validates the references between items of a merged configuration.
 *
 * <p>Not thread-safe; used for one merge.
 */
final class ConfigReferenceValidator {
    private final ConfigParser parser;
    private final FleetConfig config;
    private final List<ConfigError> errors;
    private final Map<String, String> cellOfZone = new HashMap<>();

    ConfigReferenceValidator(ConfigParser parser, FleetConfig config, List<ConfigError> errors) {
        this.parser = parser;
        this.config = config;
        this.errors = errors;
    }

    void validate() {
        parser.items(ConfigSection.CELLS).forEach(this::checkCell);
        Map<String, String> targetOfAddress = new HashMap<>();
        parser.items(ConfigSection.TARGETS).forEach(item -> checkTarget(item, targetOfAddress));
        parser.items(ConfigSection.MODELS).forEach(this::checkModel);
        parser.items(ConfigSection.ADAPTERS).forEach(this::checkAdapter);
        parser.items(ConfigSection.SERVICES).forEach(this::checkService);
        parser.items(ConfigSection.CLASSES).forEach(this::checkClass);
        parser.items(ConfigSection.TENANTS).forEach(this::checkTenant);
    }

    private void checkCell(ConfigItem item) {
        CellSpec cell = config.cells().stream()
                .filter(c -> c.name().equals(item.id()))
                .findFirst()
                .orElseThrow();
        if (cell.zones().isEmpty()) {
            addError(item, "zones", "a cell needs at least one zone");
        }
        for (String zone : cell.zones()) {
            String existing = cellOfZone.putIfAbsent(zone, cell.name());
            if (existing != null) {
                addError(item, "zones", "zone '" + zone + "' belongs to cell '" + existing + "'");
            }
        }
    }

    private void checkTarget(ConfigItem item, Map<String, String> targetOfAddress) {
        TargetSpec target = config.target(item.id()).orElseThrow();
        if (!cellOfZone.containsKey(target.zone())) {
            addError(item, "zone", "no cell has zone '" + target.zone() + "'");
        }
        String existing = targetOfAddress.putIfAbsent(target.address(), target.name());
        if (existing != null) {
            addError(item, "address", "target '" + existing + "' has the same address");
        }
        boolean isService = target.kind() == TargetKind.SERVICE;
        if (isService && item.value("memory").isPresent()) {
            addError(item, "memory", "a service has no accelerator memory");
        }
    }

    private void checkModel(ConfigItem item) {
        ModelSpec model = config.model(item.id()).orElseThrow();
        int errorsBefore = errors.size();
        if (model.minReplicas() > model.replicas()) {
            addError(item, "minReplicas", "is more than replicas, " + model.replicas());
        }
        for (String zone : model.zones()) {
            if (!cellOfZone.containsKey(zone)) {
                addError(item, "zones", "no cell has zone '" + zone + "'");
            }
        }
        for (String name : model.targets()) {
            checkTargetName(item, name, TargetKind.ENGINE);
        }
        boolean fits = config.targets().stream()
                .filter(target -> isEligible(model, target))
                .anyMatch(target -> target.memoryBytes() >= model.sizeBytes());
        if (model.replicas() > 0 && !fits && errors.size() == errorsBefore) {
            addError(item, "size", "no engine that '" + model.name() + "' may run on has this much memory");
        }
    }

    private static boolean isEligible(ModelSpec model, TargetSpec target) {
        return target.kind() == TargetKind.ENGINE
                && (model.zones().isEmpty() || model.zones().contains(target.zone()))
                && (model.targets().isEmpty() || model.targets().contains(target.name()));
    }

    private void checkAdapter(ConfigItem item) {
        String modelName = item.id().substring(0, item.id().indexOf(':'));
        if (config.model(modelName).isEmpty()) {
            addError(item, ConfigSection.MODEL, "there is no model '" + modelName + "'");
        }
    }

    private void checkService(ConfigItem item) {
        ServiceSpec service = config.service(item.id()).orElseThrow();
        if (service.targets().isEmpty()) {
            addError(item, "targets", "a service needs at least one target");
        }
        for (String name : service.targets()) {
            checkTargetName(item, name, TargetKind.SERVICE);
        }
    }

    private void checkTargetName(ConfigItem item, String name, TargetKind kind) {
        Optional<TargetSpec> target = config.target(name);
        if (target.isEmpty()) {
            addError(item, "targets", "there is no target '" + name + "'");
        } else if (target.get().kind() != kind) {
            addError(item, "targets", "target '" + name + "' is of another kind");
        }
    }

    private void checkClass(ConfigItem item) {
        if (config.requestClass(item.id()).orElseThrow().deadlineMillis() <= 0) {
            addError(item, "deadline", "must be longer than zero");
        }
    }

    private void checkTenant(ConfigItem item) {
        Optional<String> name = config.tenant(item.id()).orElseThrow().defaultClass();
        if (name.isPresent() && config.requestClass(name.get()).isEmpty()) {
            addError(item, "class", "there is no class '" + name.get() + "'");
        }
    }

    private void addError(ConfigItem item, String key, String reason) {
        errors.add(item.locationOf(key).error(reason));
    }
}
