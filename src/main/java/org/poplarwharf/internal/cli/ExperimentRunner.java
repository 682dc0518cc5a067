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
import org.poplarwharf.internal.cli.ExperimentRun.Outcome;
import org.poplarwharf.internal.cli.ExperimentRun.Setup;
import org.poplarwharf.internal.failure.Reporter;

/** Executes the runs of an experiment in parallel, with a progress bar. Stateless and thread-safe. */
final class ExperimentRunner {
    private ExperimentRunner() {}

    /** Executes all runs and returns their outcomes in the order of their setups. */
    static List<Outcome> runAll(List<Setup> setups, int maxParallelRuns, PrintStream err) {
        long requests = setups.stream().mapToLong(setup -> setup.trace().size()).sum();
        ExecutorService executor = Executors.newFixedThreadPool(maxParallelRuns);
        try (ProgressBar bar = progressBar("requests", requests, err)) {
            List<Future<Outcome>> runs = new ArrayList<>();
            for (Setup setup : setups) {
                runs.add(executor.submit(() -> ExperimentRun.run(setup, finished -> bar.step())));
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
            executor.shutdownNow();
        }
    }

    /** Returns a progress bar that prints to a stream. */
    static ProgressBar progressBar(String task, long max, PrintStream err) {
        return new ProgressBarBuilder()
                .setTaskName(task)
                .setInitialMax(max)
                .setUpdateIntervalMillis(1_000)
                .setConsumer(new ConsoleProgressBarConsumer(err))
                .build();
    }
}
