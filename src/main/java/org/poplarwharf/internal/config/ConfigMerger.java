package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;

/**
 * Merges configuration files into one configuration.
 *
 * <p>Invariant: the result depends only on the names and contents of the files. Stateless and thread-safe.
 */
public final class ConfigMerger {
    private static final int MAX_CONCURRENT = 100_000;
    private static final int MAX_REPLICAS = 100_000;
    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_QUEUE_LIMIT = 1_000_000;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_ACCELERATORS = 1_024;
    private static final int DEFAULT_MAX_CONCURRENT = 16;
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;

    private ConfigMerger() {}

    /** A merged configuration and its errors. The configuration is complete only if there are no errors. */
    public record MergeResult(FleetConfig config, List<ConfigError> errors) {
        /** Returns each error as one line. */
        public List<String> errorLines() {
            return errors.stream().map(ConfigError::format).toList();
        }
    }

    /** Merges files, given as contents by file name, in the order of their names. */
    public static MergeResult merge(long version, TreeMap<String, String> contents) {
        List<ConfigError> errors = new ArrayList<>();
        ConfigParser parser = new ConfigParser(errors);
        parser.parse(contents);
        FleetConfig config = build(version, parser, errors);
        if (errors.isEmpty()) {
            new ConfigReferenceValidator(parser, config, errors).validate();
        }
        return new MergeResult(config, List.copyOf(errors));
    }

    private static FleetConfig build(long version, ConfigParser parser, List<ConfigError> errors) {
        List<CellSpec> cells = new ArrayList<>();
        parser.items(ConfigSection.CELLS).forEach(item -> cells.add(readCell(new ItemReader(item, errors))));
        List<TargetSpec> targets = new ArrayList<>();
        parser.items(ConfigSection.TARGETS).forEach(item -> targets.add(readTarget(new ItemReader(item, errors))));
        List<ServiceSpec> services = new ArrayList<>();
        parser.items(ConfigSection.SERVICES).forEach(item -> services.add(readService(new ItemReader(item, errors))));
        List<ClassSpec> classes = new ArrayList<>();
        parser.items(ConfigSection.CLASSES)
                .forEach(item -> classes.add(readRequestClass(new ItemReader(item, errors))));
        List<TenantSpec> tenants = new ArrayList<>();
        parser.items(ConfigSection.TENANTS).forEach(item -> tenants.add(readTenant(new ItemReader(item, errors))));
        cells.sort(Comparator.comparing(CellSpec::name));
        targets.sort(Comparator.comparing(TargetSpec::name));
        services.sort(Comparator.comparing(ServiceSpec::name));
        classes.sort(Comparator.comparing(ClassSpec::name));
        tenants.sort(Comparator.comparing(TenantSpec::name));
        return new FleetConfig(
                version,
                List.copyOf(cells),
                List.copyOf(targets),
                readModels(parser, errors),
                List.copyOf(services),
                List.copyOf(classes),
                List.copyOf(tenants));
    }

    private static CellSpec readCell(ItemReader item) {
        return new CellSpec(item.name(), item.stringList("zones"));
    }

    private static TargetSpec readTarget(ItemReader item) {
        String kind = item.oneOf("kind", List.of("engine", "service"));
        boolean engine = kind.equals("engine");
        return new TargetSpec(
                item.name(),
                TargetKind.valueOf(kind.toUpperCase(Locale.ROOT)),
                item.address("address"),
                item.requiredString("zone"),
                engine ? item.sizeBytes("memory") : 0,
                item.integer("maxConcurrent", 1, MAX_CONCURRENT, DEFAULT_MAX_CONCURRENT),
                item.flag("fencing", false),
                item.integer("accelerators", 0, MAX_ACCELERATORS, engine ? 1 : 0));
    }

    private static List<ModelSpec> readModels(ConfigParser parser, List<ConfigError> errors) {
        TreeMap<String, List<AdapterSpec>> adapters = new TreeMap<>();
        for (ConfigItem item : parser.items(ConfigSection.ADAPTERS)) {
            ItemReader reader = new ItemReader(item, errors);
            adapters.computeIfAbsent(reader.requiredString(ConfigSection.MODEL), name -> new ArrayList<>())
                    .add(readAdapter(reader));
        }
        List<ModelSpec> models = new ArrayList<>();
        for (ConfigItem item : parser.items(ConfigSection.MODELS)) {
            List<AdapterSpec> ownAdapters = adapters.getOrDefault(item.id(), new ArrayList<>());
            ownAdapters.sort(Comparator.comparing(AdapterSpec::name));
            models.add(readModel(new ItemReader(item, errors), List.copyOf(ownAdapters)));
        }
        models.sort(Comparator.comparing(ModelSpec::name));
        return List.copyOf(models);
    }

    private static AdapterSpec readAdapter(ItemReader item) {
        return new AdapterSpec(
                item.name(),
                item.requiredString("version"),
                item.sizeBytes("size"),
                item.integer("replicas", 1, MAX_REPLICAS, 1));
    }

    private static ModelSpec readModel(ItemReader item, List<AdapterSpec> adapters) {
        return new ModelSpec(
                item.name(),
                item.requiredString("version"),
                item.sizeBytes("size"),
                item.integer("replicas", 0, MAX_REPLICAS, 1),
                item.integer("minReplicas", 0, MAX_REPLICAS, 0),
                item.integer("priority", 0, MAX_PRIORITY, 0),
                item.stringList("zones"),
                item.stringList("targets"),
                adapters,
                item.optionalDurationMillis("keepAlive"));
    }

    private static ServiceSpec readService(ItemReader item) {
        return new ServiceSpec(item.name(), item.stringList("targets"), item.callList("nonRepeatable"));
    }

    private static ClassSpec readRequestClass(ItemReader item) {
        return new ClassSpec(
                item.name(),
                item.durationMillis("deadline"),
                item.integer("priority", 0, MAX_PRIORITY, 0),
                item.integer("queueLimit", 1, MAX_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT));
    }

    private static TenantSpec readTenant(ItemReader item) {
        Optional<String> defaultClass = item.optionalString("class");
        return new TenantSpec(item.name(), item.integer("weight", 1, MAX_WEIGHT, 1), defaultClass);
    }
}
