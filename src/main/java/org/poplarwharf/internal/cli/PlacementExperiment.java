package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.LongFunction;
import org.poplarwharf.internal.simulation.PlacementResult;
import org.poplarwharf.internal.simulation.PlacementScenario;
import org.poplarwharf.internal.simulation.PlacementSimulation;

/**
 * {@code poplarwharf experiment placement}: simulates which models targets load, in virtual time and without a network.
 * Stateless and thread-safe.
 */
final class PlacementExperiment {
    private static final String SEED = "seed";
    private static final String SEEDS = "seeds";
    private static final int MAX_SEED_COUNT = 1_000;
    private static final OptionSet OPTIONS = new OptionSet(
            "experiment placement",
            "",
            List.of(
                    OptionSpec.of(SEED, "NUMBER", "1", "seed of the first simulation"),
                    OptionSpec.of(SEEDS, "COUNT", "10", "number of simulations, each with the next seed")));

    private PlacementExperiment() {}

    static int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> {
            long firstSeed = values.integer(SEED, 0, Integer.MAX_VALUE);
            int seedCount = values.integer(SEEDS, 1, MAX_SEED_COUNT);
            report("calm", PlacementScenario::calm, firstSeed, seedCount, out);
            report("disturbed", PlacementScenario::disturbed, firstSeed, seedCount, out);
            return Command.EXIT_OK;
        });
    }

    /** Prints the worth of what callers get, as a share of what they asked for, for each seed and in the mean. */
    private static void report(
            String name, LongFunction<PlacementScenario> scenario, long firstSeed, int seedCount, PrintStream out) {
        double sum = 0;
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            PlacementResult result = PlacementSimulation.run(scenario.apply(seed));
            sum += result.worthRatio();
            out.printf(Locale.ROOT, "%s seed=%d worth=%.3f", name, seed, result.worthRatio());
            for (String className : result.worth().keySet()) {
                out.printf(Locale.ROOT, " %s=%.3f", className, result.worthRatio(className));
            }
            out.printf(" loads=%s longestOutageMillis=%d%n", result.loadsByCopy(), longestOutageMillis(result));
        }
        out.printf(Locale.ROOT, "%s mean worth=%.3f%n", name, sum / seedCount);
    }

    private static long longestOutageMillis(PlacementResult result) {
        return result.longestOutageMillis().values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }
}
