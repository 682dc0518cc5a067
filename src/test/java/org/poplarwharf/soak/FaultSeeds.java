package org.poplarwharf.soak;

import java.util.List;
import org.poplarwharf.soak.FaultInjector.Kind;

/** Which faults a seed plays. Seeds keep theirs when kinds are added, which begin at higher seeds. Stateless. */
final class FaultSeeds {
    /** Earlier seeds play the same faults as before kinds were added. */
    private static final long FIRST_SEED_OF_ADDED_KINDS = 1_000;

    private static final long FIRST_SEED_WITH_LIMITS = 100_000;

    /** From this seed on, targets also respond without length or chunks, and some callers take no chunks. */
    static final long FIRST_SEED_WITHOUT_FRAMING = 200_000;

    /** From this seed on, the log has no faults, since the check of crashing requests does not count beside them. */
    private static final long FIRST_SEED_WITHOUT_LOG_FAULTS = 400_000;

    /**
     * From this seed on, targets fall silent, the configuration changes in series, some callers pipeline requests, and the
     * log has faults again.
     */
    static final long FIRST_SEED_WITH_SILENT_TARGETS = 500_000;

    /** From this seed on, targets repeat refusals late, and fail runs with statuses that promise that nothing has run. */
    static final long FIRST_SEED_WITH_FAULTY_RESPONSES = 800_000;

    /** From this seed on, targets also send bytes that are no HTTP response. */
    static final long FIRST_SEED_WITH_MALFORMED_RESPONSES = 900_000;

    /** From this seed on, entries of another writer have odd names, and the list of targets has pages of two. */
    private static final long FIRST_SEED_WITH_ODD_NAMES = 930_000;

    /**
     * From this seed on, some streams take most of the shutdown grace period, callers send their next requests at once, and
     * gateways are told to reload their settings while they drain.
     */
    static final long FIRST_SEED_WITH_LONG_STREAMS = 960_000;

    private static final List<Kind> DRAIN_KINDS = List.of(
            Kind.GATEWAY_TERMINATED,
            Kind.GATEWAY_TERMINATED,
            Kind.SETTINGS_CHANGED,
            Kind.CONFIG_CHANGED_IN_SERIES,
            Kind.TARGET_SILENT);

    private static final List<Kind> LOSS_KINDS =
            List.of(Kind.TARGET_SILENT, Kind.CONFIG_CHANGED_IN_SERIES, Kind.GATEWAY_TERMINATED);
    private static final List<Kind> RUN_ONCE_KINDS =
            List.of(Kind.TARGET_REPEATS_REFUSALS, Kind.TARGET_FAILS_RUNS, Kind.GATEWAY_PAUSED, Kind.GATEWAY_TERMINATED);

    private static final List<Kind> MALFORMED_KINDS =
            List.of(Kind.TARGET_SENDS_MALFORMED, Kind.TARGET_REPEATS_REFUSALS, Kind.GATEWAY_PAUSED);

    private FaultSeeds() {}

    static boolean hasLongStreams(long seed) {
        return seed >= FIRST_SEED_WITH_LONG_STREAMS;
    }

    static boolean hasOddNames(long seed) {
        return seed >= FIRST_SEED_WITH_ODD_NAMES;
    }

    static boolean isWithoutLogFaults(long seed) {
        return seed >= FIRST_SEED_WITHOUT_LOG_FAULTS && seed < FIRST_SEED_WITH_SILENT_TARGETS;
    }

    /** Returns how many kinds, in the order of their declaration, a seed may play. */
    static int kindCount(long seed) {
        if (seed < FIRST_SEED_OF_ADDED_KINDS) {
            return Kind.LOG_RESTORED.ordinal();
        }
        if (seed < FIRST_SEED_WITH_LIMITS) {
            return Kind.TARGET_LIMITED.ordinal();
        }
        if (seed < FIRST_SEED_WITHOUT_FRAMING) {
            return Kind.TARGET_OMITS_FRAMING.ordinal();
        }
        if (seed < FIRST_SEED_WITH_SILENT_TARGETS) {
            return Kind.TARGET_SILENT.ordinal();
        }
        if (seed < FIRST_SEED_WITH_FAULTY_RESPONSES) {
            return Kind.TARGET_REPEATS_REFUSALS.ordinal();
        }
        return seed < FIRST_SEED_WITH_MALFORMED_RESPONSES
                ? Kind.TARGET_SENDS_MALFORMED.ordinal()
                : Kind.values().length;
    }

    /** Returns the kinds of which half of a seed's faults are. */
    static List<Kind> preferredKinds(long seed) {
        if (seed < FIRST_SEED_WITH_SILENT_TARGETS) {
            return List.of();
        }
        if (hasLongStreams(seed)) {
            return DRAIN_KINDS;
        }
        if (seed < FIRST_SEED_WITH_FAULTY_RESPONSES) {
            return LOSS_KINDS;
        }
        return seed < FIRST_SEED_WITH_MALFORMED_RESPONSES ? RUN_ONCE_KINDS : MALFORMED_KINDS;
    }
}
