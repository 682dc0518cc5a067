package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.poplarwharf.internal.cli.QuickstartScenario.Step;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeLog;

/** {@code poplarwharf quickstart}: demonstrates a fleet with stand-ins in one process. Stateless and thread-safe. */
public final class QuickstartCommand implements Command {
    private static final String KEEP_RUNNING = "keep";
    private static final String LOG_LEVEL = "log-level";
    private static final String EXAMPLE = "quickstart";
    private static final int FIRST_NODE_INDEX = 0;
    private static final OptionSet OPTIONS = new OptionSet(
            "quickstart",
            "",
            List.of(
                    OptionSpec.toggle(KEEP_RUNNING, "keep running and print curl commands to try"),
                    OptionSpec.of(LOG_LEVEL, "LEVEL", "error", "minimum log level")));

    @Override
    public String name() {
        return "quickstart";
    }

    @Override
    public String summary() {
        return "runs three nodes with stand-ins on loopback and sends example requests";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> runQuickstart(values, out));
    }

    private static int runQuickstart(OptionValues values, PrintStream out) {
        String level = values.text(LOG_LEVEL);
        values.require(NodeLog.LEVELS.contains(level), LOG_LEVEL, "must be one of " + NodeLog.LEVELS);
        values.throwIfInvalid();
        NodeLog.setLevel(level);
        MonotonicClock clock = MonotonicClock.system();
        long startMillis = clock.nowMillis();
        ExampleConfig example = ExampleConfig.load(EXAMPLE);
        try (LocalFleet fleet = new LocalFleet(example, LocalFleetOptions.quickstart())) {
            fleet.start();
            out.printf("Three nodes are ready after %d ms.%n%n", clock.nowMillis() - startMillis);
            List<Step> steps = new QuickstartScenario(fleet, example.config()).run();
            printTable(steps, out);
            int exitCode = steps.stream().allMatch(Step::passed) ? EXIT_OK : EXIT_FAILED;
            if (values.isSet(KEEP_RUNNING)) {
                ShutdownHook.register().setAction(() -> close(fleet, exitCode));
                printExampleCommands(fleet, example.config(), out);
                awaitInterrupt();
            }
            return exitCode;
        }
    }

    private static void printTable(List<Step> steps, PrintStream out) {
        TextTable table = new TextTable("REQUEST", "NODE", "STATUS", "FIRST BYTE MS", "WHOLE MS", "VERDICT", "WANTED");
        for (Step step : steps) {
            table.add(
                    step.request(),
                    step.node(),
                    step.response().status(),
                    step.response().firstByteMillis(),
                    step.response().totalMillis(),
                    step.passed() ? "good" : "WRONG",
                    step.expectation());
        }
        table.print(out);
        for (Step step : steps) {
            if (!step.passed()) {
                out.println();
                out.println(step.request() + " returned: " + step.response().body());
            }
        }
    }

    private static void printExampleCommands(LocalFleet fleet, FleetConfig config, PrintStream out) {
        String nodeAddress = fleet.listenAddress(FIRST_NODE_INDEX);
        out.println();
        out.println("The fleet keeps running; stop it with Ctrl-C. Commands to try:");
        out.printf(
                "  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' "
                        + "-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
                nodeAddress,
                QuickstartScenario.smallestModel(config).orElseThrow().name());
        out.printf(
                "  curl http://%s/services/%s/lookup%n",
                nodeAddress, config.services().get(0).name());
        out.printf("  curl http://%s/ready%n", fleet.adminAddress(FIRST_NODE_INDEX));
        out.printf(
                "  curl http://%s/metrics -H 'Authorization: Bearer %s'%n",
                fleet.adminAddress(FIRST_NODE_INDEX), fleet.token());
        out.printf(
                "  target/poplarwharf status --admin %s --token %s%n",
                fleet.adminAddress(FIRST_NODE_INDEX), fleet.token());
        out.flush();
    }

    private static int close(LocalFleet fleet, int exitCode) {
        fleet.close();
        return exitCode;
    }

    private static void awaitInterrupt() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("quickstart", e);
        }
    }
}
