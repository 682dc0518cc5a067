package org.poplarwharf.internal.cli;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.load.OfflineLowerBound;
import org.poplarwharf.internal.standin.EngineSettings;
import org.poplarwharf.internal.standin.LogSettings;
import org.poplarwharf.internal.standin.StoreSettings;

/**
 * The simulated performance of the stand-ins of a local fleet. Immutable and thread-safe.
 *
 * @param prefillMillis time until an engine sends the first token
 * @param tokenMillis time between the tokens of an engine
 * @param nearCopyLimit maximum number of near copies that an engine keeps
 */
record StandinPerformance(
        LogSettings log,
        StoreSettings store,
        long prefillMillis,
        long tokenMillis,
        long reportLagMillis,
        double nearBytesPerSecond,
        int nearCopyLimit,
        long unloadMillis,
        long serviceMillis) {
    private static final long QUICKSTART_SERVICE_MILLIS = 5;
    private static final long PREFILL_MILLIS = 400;
    private static final long TOKEN_MILLIS = 40;
    private static final long UNLOAD_MILLIS = 200;
    private static final long SCALED_SERVICE_MILLIS = 20;
    private static final double STORE_BYTES_PER_SECOND = 2e9;
    private static final double NEAR_BYTES_PER_SECOND = 2e10;
    private static final int STORE_MAX_CONCURRENT_LOADS = 4;
    private static final int MAX_NEAR_COPIES = 3;

    /** Returns the performance for the quickstart: the defaults of the stand-ins. */
    static StandinPerformance quickstart() {
        EngineSettings engine = EngineSettings.defaults(Optional.empty());
        return new StandinPerformance(
                LogSettings.defaults(),
                StoreSettings.defaults(),
                engine.prefillMillis(),
                engine.tokenMillis(),
                engine.reportLagMillis(),
                engine.nearBytesPerSecond(),
                engine.nearCopyLimit(),
                engine.unloadMillis(),
                QUICKSTART_SERVICE_MILLIS);
    }

    /** Returns the performance for an experiment, with all durations divided by {@code timeScale}. */
    static StandinPerformance scaled(double storeLoadsPerSecond, double timeScale) {
        LogSettings log = LogSettings.defaults();
        return new StandinPerformance(
                new LogSettings(
                        log.appendsPerSecond() * timeScale, log.retentionMillis(), log.retentionRecords(), log.seed()),
                new StoreSettings(
                        storeLoadsPerSecond * timeScale,
                        STORE_MAX_CONCURRENT_LOADS,
                        STORE_BYTES_PER_SECOND * timeScale),
                scaledMillis(PREFILL_MILLIS, timeScale),
                scaledMillis(TOKEN_MILLIS, timeScale),
                scaledMillis(EngineSettings.defaults(Optional.empty()).reportLagMillis(), timeScale),
                NEAR_BYTES_PER_SECOND * timeScale,
                MAX_NEAR_COPIES,
                scaledMillis(UNLOAD_MILLIS, timeScale),
                scaledMillis(SCALED_SERVICE_MILLIS, timeScale));
    }

    /** Returns the unscaled limits of a deployment's weight store and engines, for the offline lower bound. */
    static OfflineLowerBound.PlatformLimits limits(double storeLoadsPerSecond) {
        return new OfflineLowerBound.PlatformLimits(
                storeLoadsPerSecond, STORE_MAX_CONCURRENT_LOADS, STORE_BYTES_PER_SECOND, PREFILL_MILLIS, TOKEN_MILLIS);
    }

    /** Returns a duration divided by {@code timeScale}, at least 1 ms. */
    static long scaledMillis(long millis, double timeScale) {
        return Math.max(1, Math.round(millis / timeScale));
    }

    /** Returns the settings of the stand-in for an engine. */
    EngineSettings engineSettings(TargetSpec target, String storeAddress) {
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
