package org.poplarwharf.internal.admission;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;
import org.poplarwharf.internal.state.CellState;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.Plugin;
import org.poplarwharf.plugins.PluginRegistry;
import org.poplarwharf.plugins.ReplicaSelector;

/** An admission with settable replicas and clock, and short words for what tests do with it. */
final class AdmissionFixture {
    static final ArtifactId MODEL = ArtifactId.model("llama");
    static final String LOOKUP = "lookup";
    static final String REVIEW = "review";

    final FakeReplicaPool replicas = new FakeReplicaPool();
    final CellAdmission admission;
    private final String selector;
    private long nowMillis = 1_000;
    private int nextRequest;

    AdmissionFixture() {
        this("least-loaded");
    }

    AdmissionFixture(String selector) {
        this.selector = selector;
        this.admission = new CellAdmission(
                "main", replicas, new CellState(), AdmissionFixture::config, selector(), () -> nowMillis);
    }

    private static FleetConfig config() {
        return new FleetConfig(
                1,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(new ClassSpec(LOOKUP, 2_000, 10, 100), new ClassSpec(REVIEW, 60_000, 1, 50)),
                List.of(new TenantSpec("small", 1, Optional.empty()), new TenantSpec("large", 3, Optional.empty())));
    }

    private ReplicaSelector selector() {
        SingleFactory found = new SingleFactory(selector);
        Plugin plugin = new org.poplarwharf.internal.routing.RoutingPlugin();
        plugin.registerWith(found);
        return found.factory.create(1);
    }

    void advanceMillis(long millis) {
        nowMillis += millis;
        admission.tick();
    }

    Promise<Grant> admit(String requestClass, long remainingMillis) {
        return admit(MODEL, requestClass, "small", remainingMillis, "unique-" + nextRequest);
    }

    Promise<Grant> admit(String requestClass, String tenant) {
        return admit(MODEL, requestClass, tenant, 60_000, "unique-" + nextRequest);
    }

    Promise<Grant> admitWithFingerprint(String fingerprint) {
        return admit(MODEL, REVIEW, "small", 60_000, fingerprint);
    }

    Promise<Grant> admit(
            ArtifactId artifact, String requestClass, String tenant, long remainingMillis, String fingerprint) {
        String id = "r" + nextRequest;
        nextRequest++;
        return admission.admit(
                "n1",
                new AdmissionRequest(
                        id, artifact, requestClass, tenant, "z1", remainingMillis, fingerprint, 0, List.of()));
    }

    void finish(Promise<Grant> granted, GrantCompletion.Outcome outcome, long serviceMillis) {
        admission.release(new GrantCompletion(granted.getResult().grantId(), outcome, serviceMillis, serviceMillis));
    }

    void answer(Promise<Grant> granted) {
        finish(granted, GrantCompletion.Outcome.ANSWERED, 100);
    }

    void loseConnection(Promise<Grant> granted) {
        finish(granted, GrantCompletion.Outcome.CONNECTION_LOST, 10);
    }

    static PoplarWharfException failureOf(Promise<Grant> promise) {
        return (PoplarWharfException) promise.getException();
    }

    /** Keeps the one selector that a test wants. */
    private static final class SingleFactory implements PluginRegistry {
        private final String wanted;
        private ReplicaSelector.Factory factory;

        SingleFactory(String wanted) {
            this.wanted = wanted;
        }

        @Override
        public <T> void register(Class<T> extensionPoint, String name, T implementation) {
            if (name.equals(wanted) && implementation instanceof ReplicaSelector.Factory found) {
                factory = found;
            }
        }

        @Override
        public <T> Optional<T> find(Class<T> extensionPoint, String name) {
            return Optional.empty();
        }

        @Override
        public java.util.SortedSet<String> names(Class<?> extensionPoint) {
            return new java.util.TreeSet<>();
        }
    }
}
