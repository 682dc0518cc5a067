package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import me.tongfei.progressbar.ConsoleProgressBarConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.cli.ExperimentFleet.Outcome;
import org.poplarwharf.internal.cli.ExperimentFleet.Setup;
import org.poplarwharf.internal.failure.Reporter;

/** Carries out the runs of an experiment, some at a time, with a progress bar. Stateless and thread-safe. */
final class Experiment {
    private Experiment() {}

    /** Returns the outcome of each run, in the order of the runs. */
    static List<Outcome> run(List<Setup> setups, int parallel, PrintStream err) {
        long requests = setups.stream().mapToLong(setup -> setup.trace().size()).sum();
        ExecutorService threads = Executors.newFixedThreadPool(parallel);
        try (ProgressBar bar = bar("requests", requests, err)) {
            List<Future<Outcome>> runs = new ArrayList<>();
            for (Setup setup : setups) {
                runs.add(threads.submit(() -> ExperimentFleet.run(setup, finished -> bar.step())));
            }
            List<Outcome> outcomes = new ArrayList<>();
            for (Future<Outcome> run : runs) {
                outcomes.add(run.get());
            }
            return outcomes;
        } catch (ExecutionException e) {
            throw e.getCause() instanceof PoplarWharfException failure
                    ? failure
                    : Reporter.internal("An experiment", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("an experiment", e);
        } finally {
            threads.shutdownNow();
        }
    }

    /** Returns a progress bar on the error stream. */
    static ProgressBar bar(String task, long most, PrintStream err) {
        return new ProgressBarBuilder()
                .setTaskName(task)
                .setInitialMax(most)
                .setUpdateIntervalMillis(1_000)
                .setConsumer(new ConsoleProgressBarConsumer(err))
                .build();
    }
}
