package org.poplarwharf.internal.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Smoothed service times by artifact and class, and by target.
 *
 * <p>Invariant: bounded; what was used longest ago is forgotten first. Belongs to the control thread.
 */
final class ServiceTimeEstimator {
    private static final int MAX_ENTRIES = 20_000;
    private static final double WEIGHT_OF_NEWEST = 0.2;
    private static final double DEVIATIONS = 3;
    private static final double LEAST_FACTOR = 1.1;
    private static final double MOST_FACTOR = 2;

    private final Map<Key, Double> millisByKey = bounded();
    private final Map<Key, Double> deviationByKey = bounded();
    private final Map<String, Double> millisByTarget = bounded();

    private record Key(ArtifactId artifact, String requestClass) {}

    void record(ArtifactId artifact, String requestClass, String target, long serviceMillis) {
        Key key = new Key(artifact, requestClass);
        double deviation = Math.abs(serviceMillis - millisByKey.getOrDefault(key, (double) serviceMillis));
        deviationByKey.merge(key, deviation, ServiceTimeEstimator::smooth);
        millisByKey.merge(key, (double) serviceMillis, ServiceTimeEstimator::smooth);
        millisByTarget.merge(target, (double) serviceMillis, ServiceTimeEstimator::smooth);
    }

    /** Returns the expected service time in milliseconds; zero when nothing is known. */
    double expectedMillis(ArtifactId artifact, String requestClass) {
        return millisByKey.getOrDefault(new Key(artifact, requestClass), 0.0);
    }

    /** Returns a service time in milliseconds that few requests exceed; zero when nothing is known. */
    double upperEstimateMillis(ArtifactId artifact, String requestClass) {
        double expected = expectedMillis(artifact, requestClass);
        double deviation = deviationByKey.getOrDefault(new Key(artifact, requestClass), 0.0);
        return Math.min(expected * MOST_FACTOR, expected * LEAST_FACTOR + DEVIATIONS * deviation);
    }

    double expectedTargetMillis(String target) {
        return millisByTarget.getOrDefault(target, 0.0);
    }

    private static double smooth(double old, double newest) {
        return old + WEIGHT_OF_NEWEST * (newest - old);
    }

    private static <K> Map<K, Double> bounded() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Double> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }
}
