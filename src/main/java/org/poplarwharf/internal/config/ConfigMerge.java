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
 * <p>Invariant: the result is a pure function of the files' names and contents. Stateless and thread-safe.
 */
public final class ConfigMerge {
    private static final int MAX_CONCURRENT = 100_000;
    private static final int MAX_REPLICAS = 100_000;
    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_QUEUE = 1_000_000;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_ACCELERATORS = 1_024;
    private static final int DEFAULT_MAX_CONCURRENT = 16;
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;

    private ConfigMerge() {}

    /** A merged configuration; complete only where there are no faults. */
    public record Merged(FleetConfig config, List<ConfigFault> faults) {
        /** Returns every fault as one line. */
        public List<String> faultLines() {
            return faults.stream().map(ConfigFault::line).toList();
        }
    }

    /** Merges files, given by name, in the order of their names. */
    public static Merged merge(long version, TreeMap<String, String> contents) {
        List<ConfigFault> faults = new ArrayList<>();
        ConfigFiles files = new ConfigFiles(faults);
        files.read(contents);
        FleetConfig config = build(version, files, faults);
        if (faults.isEmpty()) {
            new ConfigReferences(files, config, faults).check();
        }
        return new Merged(config, List.copyOf(faults));
    }

    private static FleetConfig build(long version, ConfigFiles files, List<ConfigFault> faults) {
        List<CellSpec> cells = new ArrayList<>();
        files.items(ConfigSection.CELLS).forEach(item -> cells.add(cell(new ItemReader(item, faults))));
        List<TargetSpec> targets = new ArrayList<>();
        files.items(ConfigSection.TARGETS).forEach(item -> targets.add(target(new ItemReader(item, faults))));
        List<ServiceSpec> services = new ArrayList<>();
        files.items(ConfigSection.SERVICES).forEach(item -> services.add(service(new ItemReader(item, faults))));
        List<ClassSpec> classes = new ArrayList<>();
        files.items(ConfigSection.CLASSES).forEach(item -> classes.add(requestClass(new ItemReader(item, faults))));
        List<TenantSpec> tenants = new ArrayList<>();
        files.items(ConfigSection.TENANTS).forEach(item -> tenants.add(tenant(new ItemReader(item, faults))));
        cells.sort(Comparator.comparing(CellSpec::name));
        targets.sort(Comparator.comparing(TargetSpec::name));
        services.sort(Comparator.comparing(ServiceSpec::name));
        classes.sort(Comparator.comparing(ClassSpec::name));
        tenants.sort(Comparator.comparing(TenantSpec::name));
        return new FleetConfig(
                version,
                List.copyOf(cells),
                List.copyOf(targets),
                models(files, faults),
                List.copyOf(services),
                List.copyOf(classes),
                List.copyOf(tenants));
    }

    private static CellSpec cell(ItemReader item) {
        return new CellSpec(item.name(), item.texts("zones"));
    }

    private static TargetSpec target(ItemReader item) {
        String kind = item.word("kind", List.of("engine", "service"));
        boolean engine = kind.equals("engine");
        return new TargetSpec(
                item.name(),
                TargetKind.valueOf(kind.toUpperCase(Locale.ROOT)),
                item.address("address"),
                item.text("zone"),
                engine ? item.sizeBytes("memory") : 0,
                item.integer("maxConcurrent", 1, MAX_CONCURRENT, DEFAULT_MAX_CONCURRENT),
                item.flag("fencing", false),
                item.integer("accelerators", 0, MAX_ACCELERATORS, engine ? 1 : 0));
    }

    private static List<ModelSpec> models(ConfigFiles files, List<ConfigFault> faults) {
        TreeMap<String, List<AdapterSpec>> adapters = new TreeMap<>();
        for (ConfigItem item : files.items(ConfigSection.ADAPTERS)) {
            ItemReader reader = new ItemReader(item, faults);
            adapters.computeIfAbsent(reader.text(ConfigSection.MODEL), name -> new ArrayList<>())
                    .add(adapter(reader));
        }
        List<ModelSpec> models = new ArrayList<>();
        for (ConfigItem item : files.items(ConfigSection.MODELS)) {
            List<AdapterSpec> own = adapters.getOrDefault(item.id(), new ArrayList<>());
            own.sort(Comparator.comparing(AdapterSpec::name));
            models.add(model(new ItemReader(item, faults), List.copyOf(own)));
        }
        models.sort(Comparator.comparing(ModelSpec::name));
        return List.copyOf(models);
    }

    private static AdapterSpec adapter(ItemReader item) {
        return new AdapterSpec(
                item.name(),
                item.text("version"),
                item.sizeBytes("size"),
                item.integer("replicas", 1, MAX_REPLICAS, 1));
    }

    private static ModelSpec model(ItemReader item, List<AdapterSpec> adapters) {
        return new ModelSpec(
                item.name(),
                item.text("version"),
                item.sizeBytes("size"),
                item.integer("replicas", 0, MAX_REPLICAS, 1),
                item.integer("minReplicas", 0, MAX_REPLICAS, 0),
                item.integer("priority", 0, MAX_PRIORITY, 0),
                item.texts("zones"),
                item.texts("targets"),
                adapters,
                item.optionalDurationMillis("keepAlive"));
    }

    private static ServiceSpec service(ItemReader item) {
        return new ServiceSpec(item.name(), item.texts("targets"), item.calls("nonRepeatable"));
    }

    private static ClassSpec requestClass(ItemReader item) {
        return new ClassSpec(
                item.name(),
                item.durationMillis("deadline"),
                item.integer("priority", 0, MAX_PRIORITY, 0),
                item.integer("queueLimit", 1, MAX_QUEUE, DEFAULT_QUEUE_LIMIT));
    }

    private static TenantSpec tenant(ItemReader item) {
        Optional<String> defaultClass = item.optionalText("class");
        return new TenantSpec(item.name(), item.integer("weight", 1, MAX_WEIGHT, 1), defaultClass);
    }
}
