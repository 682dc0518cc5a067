package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Generated observations of one target, of which 15 in 100 take 2.5 times as long. */
class TargetSpeedTest {
    private static final int SEED_COUNT = 300;
    private static final double SLOW_RESPONSE_RATE = 0.15;
    private static final double SLOW_RESPONSE_RATIO = 2.5;
    private static final double DEVIATION_LOG = 0.1;
    private static final double ACCURACY_LOG = Math.log(1.2);

    /** Of the generated sequences; the others have more slow responses in a row than any estimate can tell from a change. */
    private static final double MIN_ACCURATE_RATE = 0.98;

    @ParameterizedTest
    @ValueSource(doubles = {0.55, 0.7, 0.85, 1, 1.2})
    void ratio_is_accurate_after_30_observations(double speed) {
        int accurateCount = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            TargetSpeed learned = new TargetSpeed();
            observe(learned, new Random(seed), speed, 30);
            accurateCount += isAccurate(learned, speed) ? 1 : 0;
        }

        assertThat(accurateCount / (double) SEED_COUNT).isGreaterThan(MIN_ACCURATE_RATE);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.55, 1.8})
    void change_of_speed_is_learned_within_10_observations(double factor) {
        int accurateCount = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Random random = new Random(seed);
            TargetSpeed learned = new TargetSpeed();
            observe(learned, random, 1, 100);
            observe(learned, random, factor, 10);
            accurateCount += isAccurate(learned, factor) ? 1 : 0;
        }

        assertThat(accurateCount / (double) SEED_COUNT).isGreaterThan(0.9);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 8, 15, 31})
    void summary_of_another_node_is_the_same_estimate(int count) {
        TargetSpeed learned = new TargetSpeed();
        observe(learned, new Random(count), 0.55, count);
        TargetSpeed restored = new TargetSpeed();
        restored.restore(learned.ratioLog(), learned.deviationLog(), learned.count(), 0);

        assertThat(restored.count()).isEqualTo(learned.count());
        assertThat(restored.ratioLog()).isCloseTo(learned.ratioLog(), within(0.001));
        assertThat(restored.uncertaintyLog(0)).isCloseTo(learned.uncertaintyLog(0), within(0.001));
        assertThat(restored.uncertaintyLog(60_000)).isGreaterThan(restored.uncertaintyLog(0));
    }

    private static boolean isAccurate(TargetSpeed learned, double speed) {
        return Math.abs(learned.ratioLog() + Math.log(speed)) <= ACCURACY_LOG;
    }

    private static void observe(TargetSpeed learned, Random random, double speed, int count) {
        for (int i = 0; i < count; i++) {
            double slowLog = random.nextDouble() < SLOW_RESPONSE_RATE ? Math.log(SLOW_RESPONSE_RATIO) : 0;
            learned.record(-Math.log(speed) + slowLog + random.nextGaussian() * DEVIATION_LOG, 0);
        }
    }
}
