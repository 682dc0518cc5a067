package org.poplarwharf.internal.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.poplarwharf.internal.fleet.Target;

/**
 * How slow each target is in comparison with the median target of its service. The lease holder learns that from the
 * times to first events, which nodes report to it, and tells the other nodes; so a new holder, and a node without one, know it
 * too.
 *
 * <p>Answers targets of one service that differ in speed for long, while expected times are wrong for all of them in the
 * same way. Invariants: a target counts as normal, with a slowness of exactly 1, unless its difference from the median
 * exceeds its uncertainty; what was learned of a target is dropped once it restarts or runs other software. Confined to
 * the event loop.
 */
public final class TargetSpeeds {
    /** Fewer observations are no sign of a lasting difference. */
    private static final int MIN_COUNT = 9;

    /** Fewer known targets have no median to compare with. */
    private static final int MIN_TARGET_COUNT = 3;

    /** The least lasting difference that counts; smaller ones change placement less than one more running request. */
    private static final double MIN_DIFFERENCE_LOG = Math.log(1.2);

    /** A target that counts as different does so until its difference is below this share of the least one. */
    private static final double HYSTERESIS_RATIO = 0.5;

    /** A difference counts if it is this many times its uncertainty. */
    private static final double MIN_UNCERTAINTY_COUNT = 2.5;

    private static final long MEDIAN_INTERVAL_MILLIS = 100;

    private final boolean usedForPlacement;
    private final Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, ServiceState> services = new HashMap<>();

    /** Read by the thread that collects metrics. */
    private volatile long slowCount;

    /** Is told when a target begins or ceases to count as slow. */
    public interface Listener {
        void slownessChanged(String targetId, boolean slow, Estimate estimate);
    }

    /**
     * What is known of a target's speed.
     *
     * @param ratio the ratio of its times to those of the median target
     * @param uncertaintyLog the standard error of the ratio's logarithm
     */
    public record Estimate(double ratio, double uncertaintyLog, int observationCount) {}

    /** The summary of a target's observations, by which another node knows them. Immutable. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Summary(
            String targetId,
            long startedAtMillis,
            String softwareVersion,
            double ratioLog,
            double deviationLog,
            int count) {}

    private static final class Entry {
        private Target target;
        private final TargetSpeed speed = new TargetSpeed();
        private boolean different;
        private boolean slow;

        Entry(Target target) {
            this.target = target;
        }
    }

    private static final class ServiceState {
        private final ExpectedTimeCorrection correction = new ExpectedTimeCorrection();
        private double medianLog;
        private boolean hasMedian;
        private boolean uneven;
        private long medianMillis = Long.MIN_VALUE / 2;
    }

    /** Creates speeds that selectors go by. */
    public TargetSpeeds(Listener listener) {
        this(listener, true);
    }

    /**
     * Creates speeds of no target.
     *
     * @param usedForPlacement whether selectors go by the speeds; if not, they are only reported and shared
     */
    public TargetSpeeds(Listener listener, boolean usedForPlacement) {
        this.listener = listener;
        this.usedForPlacement = usedForPlacement;
    }

    /** Records the time to a response's first event at a target, and the time that was expected at one of normal speed. */
    public void recordFirstEvent(
            Target target, String model, long expectedMillis, long firstEventMillis, long nowMillis) {
        Entry entry = entryOf(target);
        ServiceState service = serviceOf(target);
        double ratioLog = Math.log(Math.max(1, firstEventMillis) / (double) Math.max(1, expectedMillis));
        double correctedLog = ratioLog - service.correction.correctionLog(model, expectedMillis);
        service.correction.record(model, expectedMillis, correctedLog - entry.speed.ratioLog());
        entry.speed.record(correctedLog, nowMillis);
        if (nowMillis - service.medianMillis >= MEDIAN_INTERVAL_MILLIS) {
            updateMedian(target.service(), service, nowMillis);
        }
        updateDifference(entry, service, nowMillis);
    }

    /**
     * Returns the ratio of a target's times to those of the median target, for placement; 1 unless it is known to differ.
     */
    public double slowness(Target target, long nowMillis) {
        Entry entry = entries.get(target.id());
        if (!usedForPlacement || entry == null || !entry.different || !isSameSoftware(entry.target, target)) {
            return 1;
        }
        ServiceState service = serviceOf(target);
        updateDifference(entry, service, nowMillis);
        return entry.different ? Math.exp(entry.speed.ratioLog() - service.medianLog) : 1;
    }

    /** Returns whether any target of this one's service is known to differ from the others, for placement. */
    public boolean isUneven(Target target) {
        return usedForPlacement && serviceOf(target).uneven;
    }

    /** Returns what is known of a target; empty without enough observations. */
    public Optional<Estimate> estimate(String targetId, long nowMillis) {
        return Optional.ofNullable(entries.get(targetId))
                .filter(entry -> serviceOf(entry.target).hasMedian)
                .map(entry -> estimate(entry, serviceOf(entry.target), nowMillis));
    }

    /** Returns whether selectors go by the speeds. */
    public boolean isUsedForPlacement() {
        return usedForPlacement;
    }

    /** Returns the summaries for other nodes, of targets that state when they started; none unless selectors use them. */
    public List<Summary> summaries() {
        if (!usedForPlacement) {
            return List.of();
        }
        List<Summary> summaries = new ArrayList<>();
        for (Entry entry : entries.values()) {
            Target target = entry.target;
            if (target.startedAtMillis() != 0 && entry.speed.count() > 0) {
                summaries.add(new Summary(
                        target.id(),
                        target.startedAtMillis(),
                        target.softwareVersion(),
                        entry.speed.ratioLog(),
                        entry.speed.deviationLog(),
                        entry.speed.count()));
            }
        }
        return summaries;
    }

    /**
     * Replaces what this node knows by the holder's summaries, as far as they are about the incarnations that this node
     * knows.
     */
    public void restore(List<Summary> summaries, Function<String, Optional<Target>> targetById, long nowMillis) {
        List<Entry> restored = new ArrayList<>();
        for (Summary summary : summaries) {
            Optional<Target> target = targetById
                    .apply(summary.targetId())
                    .filter(known -> known.startedAtMillis() == summary.startedAtMillis()
                            && known.softwareVersion().equals(summary.softwareVersion()));
            if (target.isPresent()) {
                Entry entry = entryOf(target.get());
                serviceOf(target.get());
                entry.speed.restore(summary.ratioLog(), summary.deviationLog(), summary.count(), nowMillis);
                restored.add(entry);
            }
        }
        services.forEach((name, service) -> updateMedian(name, service, nowMillis));
        restored.forEach(entry -> updateDifference(entry, serviceOf(entry.target), nowMillis));
    }

    /** Returns the number of targets that count as slow. */
    public long slowCount() {
        return slowCount;
    }

    /** Forgets a target that is gone. */
    public void remove(String targetId) {
        Entry removed = entries.remove(targetId);
        slowCount -= removed != null && removed.slow ? 1 : 0;
    }

    private Entry entryOf(Target target) {
        Entry entry = entries.get(target.id());
        if (entry == null || !isSameSoftware(entry.target, target)) {
            remove(target.id());
            entry = new Entry(target);
            entries.put(target.id(), entry);
        }
        entry.target = target;
        return entry;
    }

    private static boolean isSameSoftware(Target known, Target latest) {
        return known.isSameIncarnation(latest) && known.softwareVersion().equals(latest.softwareVersion());
    }

    private ServiceState serviceOf(Target target) {
        return services.computeIfAbsent(target.service(), name -> new ServiceState());
    }

    private void updateMedian(String name, ServiceState service, long nowMillis) {
        service.medianMillis = nowMillis;
        double[] ratios = entries.values().stream()
                .filter(entry -> entry.target.service().equals(name) && entry.speed.count() >= MIN_COUNT)
                .mapToDouble(entry -> entry.speed.ratioLog())
                .toArray();
        service.hasMedian = ratios.length >= MIN_TARGET_COUNT;
        service.uneven = entries.values().stream()
                .anyMatch(entry -> entry.different && entry.target.service().equals(name));
        service.medianLog = service.hasMedian ? TargetSpeed.median(ratios) : 0;
    }

    private void updateDifference(Entry entry, ServiceState service, long nowMillis) {
        Estimate estimate = estimate(entry, service, nowMillis);
        double differenceLog = Math.abs(Math.log(estimate.ratio()));
        double minLog = entry.different ? MIN_DIFFERENCE_LOG * HYSTERESIS_RATIO : MIN_DIFFERENCE_LOG;
        entry.different = service.hasMedian
                && (entry.different || entry.speed.count() >= MIN_COUNT)
                && differenceLog > Math.max(minLog, MIN_UNCERTAINTY_COUNT * estimate.uncertaintyLog());
        boolean slow = entry.different && estimate.ratio() > 1;
        if (slow != entry.slow) {
            entry.slow = slow;
            slowCount += slow ? 1 : -1;
            listener.slownessChanged(entry.target.id(), slow, estimate);
        }
    }

    private static Estimate estimate(Entry entry, ServiceState service, long nowMillis) {
        return new Estimate(
                Math.exp(entry.speed.ratioLog() - service.medianLog),
                entry.speed.uncertaintyLog(nowMillis),
                entry.speed.count());
    }
}
