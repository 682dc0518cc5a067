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

/** Admission control with fake replicas and a manual clock, and helper methods for tests. */
final class AdmissionFixture {
    static final ArtifactId MODEL = ArtifactId.model("llama");
    /** Request class with the highest priority and a short deadline. */
    static final String LOOKUP = "lookup";
    /** Low-priority request class with a long deadline. */
    static final String REVIEW = "review";

    final FakeReplicaPool replicas = new FakeReplicaPool();
    final CellAdmissionController controller;
    private final String selectorName;
    private long nowMillis = 1_000;
    private int nextRequestNumber;

    AdmissionFixture() {
        this("least-loaded");
    }

    AdmissionFixture(String selectorName) {
        this.selectorName = selectorName;
        this.controller = new CellAdmissionController(
                "main", replicas, new CellState(), AdmissionFixture::config, createSelector(), () -> nowMillis);
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

    private ReplicaSelector createSelector() {
        SelectorRegistry registry = new SelectorRegistry(selectorName);
        Plugin plugin = new org.poplarwharf.internal.routing.RoutingPlugin();
        plugin.registerWith(registry);
        return registry.factory.create(1);
    }

    void advanceMillis(long millis) {
        nowMillis += millis;
        controller.tick();
    }

    Promise<Grant> admit(String requestClass, long remainingMillis) {
        return admit(MODEL, requestClass, "small", remainingMillis, "unique-" + nextRequestNumber);
    }

    Promise<Grant> admit(String requestClass, String tenant) {
        return admit(MODEL, requestClass, tenant, 60_000, "unique-" + nextRequestNumber);
    }

    Promise<Grant> admitWithFingerprint(String fingerprint) {
        return admit(MODEL, REVIEW, "small", 60_000, fingerprint);
    }

    Promise<Grant> admit(
            ArtifactId artifact, String requestClass, String tenant, long remainingMillis, String fingerprint) {
        String id = "r" + nextRequestNumber;
        nextRequestNumber++;
        return controller.admit(
                "n1",
                new AdmissionRequest(
                        id, artifact, requestClass, tenant, "z1", remainingMillis, fingerprint, 0, List.of()));
    }

    void finish(Promise<Grant> grant, GrantCompletion.Outcome outcome, long serviceMillis) {
        controller.release(new GrantCompletion(grant.getResult().grantId(), outcome, serviceMillis, serviceMillis));
    }

    void answer(Promise<Grant> grant) {
        finish(grant, GrantCompletion.Outcome.ANSWERED, 100);
    }

    void loseConnection(Promise<Grant> grant) {
        finish(grant, GrantCompletion.Outcome.CONNECTION_LOST, 10);
    }

    static PoplarWharfException failureOf(Promise<Grant> promise) {
        return (PoplarWharfException) promise.getException();
    }

    /** Keeps the selector factory with the given name. */
    private static final class SelectorRegistry implements PluginRegistry {
        private final String wantedName;
        private ReplicaSelector.Factory factory;

        SelectorRegistry(String wantedName) {
            this.wantedName = wantedName;
        }

        @Override
        public <T> void register(Class<T> extensionPoint, String name, T implementation) {
            if (name.equals(wantedName) && implementation instanceof ReplicaSelector.Factory selectorFactory) {
                factory = selectorFactory;
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
