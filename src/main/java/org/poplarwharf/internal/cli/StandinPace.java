package org.poplarwharf.internal.cli;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.load.OfflineLowerBound;
import org.poplarwharf.internal.standin.EngineSettings;
import org.poplarwharf.internal.standin.LogSettings;
import org.poplarwharf.internal.standin.StoreSettings;

/**
 * How fast the stand-ins of a local fleet are. Immutable and thread-safe.
 *
 * @param prefillMillis time of an engine before the first token
 * @param tokenMillis time of an engine between tokens
 * @param nearCopyLimit near copies that an engine keeps
 */
record StandinPace(
        LogSettings log,
        StoreSettings store,
        long prefillMillis,
        long tokenMillis,
        long reportLagMillis,
        double nearBytesPerSecond,
        int nearCopyLimit,
        long unloadMillis,
        long serviceMillis) {
    private static final long SERVICE_MILLIS = 5;
    private static final long PREFILL_MILLIS = 400;
    private static final long TOKEN_MILLIS = 40;
    private static final long UNLOAD_MILLIS = 200;
    private static final long SCALED_SERVICE_MILLIS = 20;
    private static final double STORE_BYTES_PER_SECOND = 2e9;
    private static final double NEAR_BYTES_PER_SECOND = 2e10;
    private static final int STORE_PLACES = 4;
    private static final int NEAR_COPIES = 3;

    /** Returns the pace of a demonstration. */
    static StandinPace quickstart() {
        EngineSettings engine = EngineSettings.defaults(Optional.empty());
        return new StandinPace(
                LogSettings.defaults(),
                StoreSettings.defaults(),
                engine.prefillMillis(),
                engine.tokenMillis(),
                engine.reportLagMillis(),
                engine.nearBytesPerSecond(),
                engine.nearCopyLimit(),
                engine.unloadMillis(),
                SERVICE_MILLIS);
    }

    /** Returns the pace of a deployment whose every duration is divided by a factor. */
    static StandinPace scaled(double storeLoadsPerSecond, double timeScale) {
        LogSettings log = LogSettings.defaults();
        return new StandinPace(
                new LogSettings(
                        log.appendsPerSecond() * timeScale, log.retentionMillis(), log.retentionRecords(), log.seed()),
                new StoreSettings(storeLoadsPerSecond * timeScale, STORE_PLACES, STORE_BYTES_PER_SECOND * timeScale),
                scaledMillis(PREFILL_MILLIS, timeScale),
                scaledMillis(TOKEN_MILLIS, timeScale),
                scaledMillis(EngineSettings.defaults(Optional.empty()).reportLagMillis(), timeScale),
                NEAR_BYTES_PER_SECOND * timeScale,
                NEAR_COPIES,
                scaledMillis(UNLOAD_MILLIS, timeScale),
                scaledMillis(SCALED_SERVICE_MILLIS, timeScale));
    }

    /** Returns the limits of a deployment's store and engines in its own time. */
    static OfflineLowerBound.PlatformLimits limits(double storeLoadsPerSecond) {
        return new OfflineLowerBound.PlatformLimits(
                storeLoadsPerSecond, STORE_PLACES, STORE_BYTES_PER_SECOND, PREFILL_MILLIS, TOKEN_MILLIS);
    }

    static long scaledMillis(long millis, double timeScale) {
        return Math.max(1, Math.round(millis / timeScale));
    }

    /** Returns the abilities of the engine that stands in for a target. */
    EngineSettings engine(TargetSpec target, String storeAddress) {
        return new EngineSettings(
                target.memoryBytes(),
                target.maxConcurrent(),
                prefillMillis,
                tokenMillis,
                EngineSettings.defaults(Optional.empty()).defaultTokens(),
                target.fencing(),
                reportLagMillis,
                Optional.of(storeAddress),
                nearBytesPerSecond,
                nearCopyLimit,
                List.of(),
                unloadMillis);
    }
}
