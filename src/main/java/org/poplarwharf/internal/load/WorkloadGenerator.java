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
 * Makes the requests of a workload: bursts for artifacts of uneven popularity, and calls of the plain services between.
 *
 * <p>Invariant: the same configuration and specification give the same requests. Stateless between calls and thread-safe.
 */
public final class WorkloadGenerator {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Difference of priorities at which a tenant is less likely by the factor e. */
    private static final double PRIORITY_REACH = 8;

    private final FleetConfig config;
    private final WorkloadSpec spec;
    private final UniformRandomProvider random;
    private final List<Arrival> arrivals = new ArrayList<>();

    private WorkloadGenerator(FleetConfig config, WorkloadSpec spec) {
        this.config = config;
        this.spec = spec;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(spec.seed());
    }

    /** Returns the requests in the order of their arrival. */
    public static List<Arrival> generate(FleetConfig config, WorkloadSpec spec) {
        WorkloadGenerator generator = new WorkloadGenerator(config, spec);
        generator.addBursts();
        generator.addServiceCalls();
        return generator.numbered();
    }

    private void addBursts() {
        List<ArtifactId> artifacts = artifacts();
        double modelRate = spec.requestsPerSecond() * (1 - spec.serviceShare());
        double weightSum = 0;
        for (int rank = 0; rank < artifacts.size(); rank++) {
            weightSum += weight(rank);
        }
        for (int rank = 0; rank < artifacts.size(); rank++) {
            double burstsPerSecond = modelRate * weight(rank) / weightSum / spec.burstRequests();
            addBurstsOf(artifacts.get(rank), MILLIS_PER_SECOND / burstsPerSecond);
        }
    }

    private double weight(int rank) {
        return 1 / Math.pow(rank + 1.0, spec.popularitySkew());
    }

    /** Returns all models and adapters in an order that the seed decides. */
    private List<ArtifactId> artifacts() {
        List<ArtifactId> artifacts = new ArrayList<>();
        for (ModelSpec model : config.models()) {
            artifacts.add(ArtifactId.model(model.name()));
            model.adapters().forEach(adapter -> artifacts.add(ArtifactId.adapter(model.name(), adapter.name())));
        }
        for (int last = artifacts.size() - 1; last > 0; last--) {
            int other = random.nextInt(last + 1);
            ArtifactId moved = artifacts.get(last);
            artifacts.set(last, artifacts.get(other));
            artifacts.set(other, moved);
        }
        return artifacts;
    }

    private void addBurstsOf(ArtifactId artifact, double meanPauseMillis) {
        double atMillis = exponential(meanPauseMillis);
        while (atMillis < spec.durationMillis()) {
            TenantSpec tenant = tenantOf(artifact);
            ClassSpec requestClass = requestClass(tenant);
            double requestAtMillis = atMillis;
            do {
                addCompletion(artifact, requestClass, tenant, requestAtMillis);
                requestAtMillis += exponential(spec.burstGapMillis());
            } while (random.nextDouble() > 1 / spec.burstRequests());
            atMillis += exponential(meanPauseMillis);
        }
    }

    private void addCompletion(ArtifactId artifact, ClassSpec requestClass, TenantSpec tenant, double atMillis) {
        int tokens = (int) Math.max(1, exponential(spec.maxTokens()));
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
        double atMillis = exponential(MILLIS_PER_SECOND / rate);
        while (atMillis < spec.durationMillis()) {
            ServiceSpec service =
                    config.services().get(random.nextInt(config.services().size()));
            addServiceCall(service, atMillis);
            atMillis += exponential(MILLIS_PER_SECOND / rate);
        }
    }

    private void addServiceCall(ServiceSpec service, double atMillis) {
        TenantSpec tenant = tenant();
        ClassSpec requestClass = requestClass(tenant);
        boolean once = !service.nonRepeatable().isEmpty() && random.nextBoolean();
        String method = "GET";
        String path = "/entries/" + random.nextInt(1_000);
        Optional<String> key = Optional.empty();
        if (once) {
            CallSpec call = service.nonRepeatable()
                    .get(random.nextInt(service.nonRepeatable().size()));
            method = call.method();
            path = call.pathPrefix();
            key = Optional.of("key-" + spec.seed() + "-" + arrivals.size());
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
                key));
    }

    /** Draws a tenant for a model, the likelier the nearer the priority of its class is to that of the model. */
    private TenantSpec tenantOf(ArtifactId artifact) {
        int modelPriority =
                config.model(artifact.name()).map(ModelSpec::priority).orElse(0);
        List<TenantSpec> tenants = config.tenants();
        double[] weights = new double[tenants.size()];
        double sum = 0;
        for (int index = 0; index < weights.length; index++) {
            int classPriority =
                    requestClassOf(tenants.get(index)).map(ClassSpec::priority).orElse(modelPriority);
            weights[index] = Math.exp(-Math.abs(modelPriority - classPriority) / PRIORITY_REACH);
            sum += weights[index];
        }
        double drawn = random.nextDouble() * sum;
        for (int index = 0; index < weights.length; index++) {
            drawn -= weights[index];
            if (drawn < 0) {
                return tenants.get(index);
            }
        }
        return tenants.get(tenants.size() - 1);
    }

    private Optional<ClassSpec> requestClassOf(TenantSpec tenant) {
        return tenant.defaultClass().flatMap(config::requestClass);
    }

    private TenantSpec tenant() {
        return config.tenants().get(random.nextInt(config.tenants().size()));
    }

    private ClassSpec requestClass(TenantSpec tenant) {
        return requestClassOf(tenant)
                .orElseGet(() ->
                        config.classes().get(random.nextInt(config.classes().size())));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private List<Arrival> numbered() {
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
        List<Arrival> numbered = new ArrayList<>(arrivals.size());
        for (Arrival a : arrivals) {
            numbered.add(new Arrival(
                    numbered.size(),
                    a.atMillis(),
                    a.artifact(),
                    a.requestClass(),
                    a.tenant(),
                    a.deadlineMillis(),
                    a.maxTokens(),
                    a.method(),
                    a.path(),
                    a.idempotencyKey()));
        }
        return List.copyOf(numbered);
    }
}
