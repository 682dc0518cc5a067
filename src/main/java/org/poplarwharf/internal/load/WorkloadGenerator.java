package org.poplarwharf.internal.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.CallSpec;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Generates the requests of a workload: bursts of requests for models and adapters, whose popularity follows a Zipf
 * distribution, mixed with calls to plain services at exponential intervals.
 *
 * <p>Invariant: the same configuration and specification produce the same requests. Stateless between calls and
 * thread-safe.
 */
public final class WorkloadGenerator {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Priority difference at which a tenant becomes less likely by a factor of e. */
    private static final double PRIORITY_DECAY = 8;

    private final FleetConfig config;
    private final WorkloadSpec spec;
    private final UniformRandomProvider random;
    private final List<Arrival> arrivals = new ArrayList<>();

    private WorkloadGenerator(FleetConfig config, WorkloadSpec spec) {
        this.config = config;
        this.spec = spec;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(spec.seed());
    }

    /** Generates the requests in order of their due time, numbered from zero. */
    public static List<Arrival> generate(FleetConfig config, WorkloadSpec spec) {
        WorkloadGenerator generator = new WorkloadGenerator(config, spec);
        generator.addBursts();
        generator.addServiceCalls();
        return generator.sortedAndNumbered();
    }

    private void addBursts() {
        List<ArtifactId> artifacts = artifacts();
        double modelRate = spec.requestsPerSecond() * (1 - spec.serviceShare());
        double weightSum = 0;
        for (int rank = 0; rank < artifacts.size(); rank++) {
            weightSum += zipfWeight(rank);
        }
        for (int rank = 0; rank < artifacts.size(); rank++) {
            double burstsPerSecond = modelRate * zipfWeight(rank) / weightSum / spec.burstRequests();
            addBurstsFor(artifacts.get(rank), MILLIS_PER_SECOND / burstsPerSecond);
        }
    }

    private double zipfWeight(int rank) {
        return 1 / Math.pow(rank + 1.0, spec.popularitySkew());
    }

    /** Returns all models and adapters, shuffled by the seeded random generator. The position is the popularity rank. */
    private List<ArtifactId> artifacts() {
        List<ArtifactId> artifacts = new ArrayList<>();
        for (ModelSpec model : config.models()) {
            artifacts.add(ArtifactId.model(model.name()));
            model.adapters().forEach(adapter -> artifacts.add(ArtifactId.adapter(model.name(), adapter.name())));
        }
        for (int index = artifacts.size() - 1; index > 0; index--) {
            int swapIndex = random.nextInt(index + 1);
            ArtifactId swapped = artifacts.get(index);
            artifacts.set(index, artifacts.get(swapIndex));
            artifacts.set(swapIndex, swapped);
        }
        return artifacts;
    }

    private void addBurstsFor(ArtifactId artifact, double meanPauseMillis) {
        double atMillis = drawExponential(meanPauseMillis);
        while (atMillis < spec.durationMillis()) {
            TenantSpec tenant = drawTenantFor(artifact);
            ClassSpec requestClass = drawRequestClass(tenant);
            double requestAtMillis = atMillis;
            do {
                addCompletion(artifact, requestClass, tenant, requestAtMillis);
                requestAtMillis += drawExponential(spec.burstGapMillis());
            } while (random.nextDouble() > 1 / spec.burstRequests());
            atMillis += drawExponential(meanPauseMillis);
        }
    }

    private void addCompletion(ArtifactId artifact, ClassSpec requestClass, TenantSpec tenant, double atMillis) {
        int tokens = (int) Math.max(1, drawExponential(spec.maxTokens()));
        arrivals.add(new Arrival(
                0,
                Math.round(atMillis),
                artifact,
                requestClass.name(),
                tenant.name(),
                requestClass.deadlineMillis(),
                Math.min(tokens, 4 * spec.maxTokens()),
                "POST",
                "",
                Optional.empty()));
    }

    private void addServiceCalls() {
        double rate = spec.requestsPerSecond() * spec.serviceShare();
        if (rate <= 0 || config.services().isEmpty()) {
            return;
        }
        double atMillis = drawExponential(MILLIS_PER_SECOND / rate);
        while (atMillis < spec.durationMillis()) {
            ServiceSpec service =
                    config.services().get(random.nextInt(config.services().size()));
            addServiceCall(service, atMillis);
            atMillis += drawExponential(MILLIS_PER_SECOND / rate);
        }
    }

    private void addServiceCall(ServiceSpec service, double atMillis) {
        TenantSpec tenant = drawTenant();
        ClassSpec requestClass = drawRequestClass(tenant);
        boolean isNonRepeatable = !service.nonRepeatable().isEmpty() && random.nextBoolean();
        String method = "GET";
        String path = "/entries/" + random.nextInt(1_000);
        Optional<String> idempotencyKey = Optional.empty();
        if (isNonRepeatable) {
            CallSpec call = service.nonRepeatable()
                    .get(random.nextInt(service.nonRepeatable().size()));
            method = call.method();
            path = call.pathPrefix();
            idempotencyKey = Optional.of("key-" + spec.seed() + "-" + arrivals.size());
        }
        arrivals.add(new Arrival(
                0,
                Math.round(atMillis),
                ArtifactId.service(service.name()),
                requestClass.name(),
                tenant.name(),
                requestClass.deadlineMillis(),
                0,
                method,
                path,
                idempotencyKey));
    }

    /** Draws a tenant for a model. Tenants whose request class has a priority close to the model's are more likely. */
    private TenantSpec drawTenantFor(ArtifactId artifact) {
        int modelPriority =
                config.model(artifact.name()).map(ModelSpec::priority).orElse(0);
        List<TenantSpec> tenants = config.tenants();
        double[] weights = new double[tenants.size()];
        double sum = 0;
        for (int index = 0; index < weights.length; index++) {
            int classPriority =
                    defaultClassOf(tenants.get(index)).map(ClassSpec::priority).orElse(modelPriority);
            weights[index] = Math.exp(-Math.abs(modelPriority - classPriority) / PRIORITY_DECAY);
            sum += weights[index];
        }
        double remaining = random.nextDouble() * sum;
        for (int index = 0; index < weights.length; index++) {
            remaining -= weights[index];
            if (remaining < 0) {
                return tenants.get(index);
            }
        }
        return tenants.get(tenants.size() - 1);
    }

    private Optional<ClassSpec> defaultClassOf(TenantSpec tenant) {
        return tenant.defaultClass().flatMap(config::requestClass);
    }

    private TenantSpec drawTenant() {
        return config.tenants().get(random.nextInt(config.tenants().size()));
    }

    private ClassSpec drawRequestClass(TenantSpec tenant) {
        return defaultClassOf(tenant)
                .orElseGet(() ->
                        config.classes().get(random.nextInt(config.classes().size())));
    }

    private double drawExponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private List<Arrival> sortedAndNumbered() {
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
        List<Arrival> numbered = new ArrayList<>(arrivals.size());
        for (Arrival arrival : arrivals) {
            numbered.add(new Arrival(
                    numbered.size(),
                    arrival.atMillis(),
                    arrival.artifact(),
                    arrival.requestClass(),
                    arrival.tenant(),
                    arrival.deadlineMillis(),
                    arrival.maxTokens(),
                    arrival.method(),
                    arrival.path(),
                    arrival.idempotencyKey()));
        }
        return List.copyOf(numbered);
    }
}
