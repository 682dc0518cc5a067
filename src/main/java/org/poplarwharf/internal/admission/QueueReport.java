package org.poplarwharf.internal.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Counts waiting and running requests by artifact and request class, for the status report. Not thread-safe; a new
 * instance is created for each report.
 */
final class QueueReport {
    private final Map<Key, Count> counts =
            new TreeMap<>(Comparator.comparing(Key::artifact).thenComparing(Key::requestClass));

    private QueueReport() {}

    static List<AdmissionController.QueueStatus> of(
            Collection<WaitingRequest> waiting, Collection<GrantTable.ActiveGrant> grants) {
        QueueReport report = new QueueReport();
        for (WaitingRequest request : waiting) {
            report.add(request.request().artifact(), request.request().requestClass(), new Count(1, 0));
        }
        for (GrantTable.ActiveGrant grant : grants) {
            report.add(grant.artifact(), grant.requestClass(), new Count(0, 1));
        }
        return report.queues();
    }

    private void add(ArtifactId artifact, String requestClass, Count count) {
        counts.merge(new Key(artifact, requestClass), count, Count::plus);
    }

    private List<AdmissionController.QueueStatus> queues() {
        return counts.entrySet().stream()
                .map(entry -> new AdmissionController.QueueStatus(
                        entry.getKey().artifact(),
                        entry.getKey().requestClass(),
                        entry.getValue().waiting(),
                        entry.getValue().running()))
                .toList();
    }

    /** Artifact and request class of the counted requests. */
    private record Key(ArtifactId artifact, String requestClass) {}

    /** Number of requests with the same key. */
    private record Count(int waiting, int running) {
        Count plus(Count other) {
            return new Count(waiting + other.waiting, running + other.running);
        }
    }
}
