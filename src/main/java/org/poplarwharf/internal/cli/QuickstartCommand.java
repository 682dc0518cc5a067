package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.poplarwharf.internal.cli.QuickstartSteps.Step;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeLog;

/** {@code poplarwharf quickstart}: shows the whole path in one process. Stateless and thread-safe. */
public final class QuickstartCommand implements Command {
    private static final String KEEP = "keep";
    private static final String LOG_LEVEL = "log-level";
    private static final String EXAMPLE = "quickstart";
    private static final int FIRST_NODE = 0;
    private static final OptionSet OPTIONS = new OptionSet(
            "quickstart",
            "",
            List.of(
                    OptionSpec.toggle(KEEP, "stay up and print curl lines to try"),
                    OptionSpec.of(LOG_LEVEL, "LEVEL", "error", "the least level that is logged")));

    @Override
    public String name() {
        return "quickstart";
    }

    @Override
    public String summary() {
        return "runs stand-ins and three nodes on loopback and shows what they do";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> show(values, out));
    }

    private static int show(OptionValues values, PrintStream out) {
        String level = values.text(LOG_LEVEL);
        values.require(NodeLog.LEVELS.contains(level), LOG_LEVEL, "must be one of " + NodeLog.LEVELS);
        values.check();
        NodeLog.setLevel(level);
        MonotonicClock clock = MonotonicClock.system();
        long startMillis = clock.nowMillis();
        FleetExample example = FleetExample.load(EXAMPLE);
        try (LocalFleet fleet = new LocalFleet(example, LocalFleetOptions.quickstart())) {
            fleet.start();
            out.printf("Three nodes are ready after %d ms.%n%n", clock.nowMillis() - startMillis);
            List<Step> steps = new QuickstartSteps(fleet, example.config()).run();
            printTable(steps, out);
            int exitCode = steps.stream().allMatch(Step::good) ? EXIT_OK : EXIT_FAILED;
            if (values.isSet(KEEP)) {
                ProcessEnd.onSignal(() -> finish(fleet, exitCode));
                printCurlLines(fleet, example.config(), out);
                awaitEnd();
            }
            return exitCode;
        }
    }

    private static void printTable(List<Step> steps, PrintStream out) {
        TextTable table = new TextTable("REQUEST", "NODE", "STATUS", "FIRST BYTE MS", "WHOLE MS", "VERDICT", "WANTED");
        for (Step step : steps) {
            table.add(
                    step.what(),
                    step.node(),
                    step.answer().status(),
                    step.answer().firstByteMillis(),
                    step.answer().wholeMillis(),
                    step.good() ? "good" : "WRONG",
                    step.seen());
        }
        table.print(out);
        for (Step step : steps) {
            if (!step.good()) {
                out.println();
                out.println(step.what() + " answered: " + step.answer().body());
            }
        }
    }

    private static void printCurlLines(LocalFleet fleet, FleetConfig config, PrintStream out) {
        String node = fleet.listenAddress(FIRST_NODE);
        out.println();
        out.println("Still up; end with Ctrl-C. Try:");
        out.printf(
                "  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' "
                        + "-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
                node, QuickstartSteps.smallest(config).orElseThrow().name());
        out.printf(
                "  curl http://%s/services/%s/lookup%n",
                node, config.services().get(0).name());
        out.printf("  curl http://%s/ready%n", fleet.adminAddress(FIRST_NODE));
        out.printf(
                "  curl http://%s/metrics -H 'Authorization: Bearer %s'%n",
                fleet.adminAddress(FIRST_NODE), fleet.token());
        out.printf(
                "  target/poplarwharf status --admin %s --token %s%n", fleet.adminAddress(FIRST_NODE), fleet.token());
        out.flush();
    }

    private static int finish(LocalFleet fleet, int exitCode) {
        fleet.close();
        return exitCode;
    }

    private static void awaitEnd() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("quickstart", e);
        }
    }
}
