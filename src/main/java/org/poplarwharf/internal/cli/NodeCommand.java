package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.Node;
import org.poplarwharf.internal.kernel.NodeLog;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * {@code poplarwharf node}: runs a node until the process receives a shutdown signal.
 *
 * <p>Stateless and thread-safe.
 */
public final class NodeCommand implements Command {
    private static final OptionSpec LOG_LEVEL =
            OptionSpec.of("log-level", "LEVEL", "info", "minimum log level: " + String.join(", ", NodeLog.LEVELS));
    private static final OptionSet OPTIONS = new OptionSet("node", "", specs());

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String summary() {
        return "runs a node: serves requests, follows the log, and holds cells";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> {
            ShutdownHook shutdown = ShutdownHook.register();
            try {
                return runNode(values, shutdown, out);
            } finally {
                shutdown.withdraw();
            }
        });
    }

    private static List<OptionSpec> specs() {
        List<OptionSpec> specs = new ArrayList<>(NodeSettingsReader.SPECS);
        specs.add(LOG_LEVEL);
        return specs;
    }

    private static int runNode(OptionValues values, ShutdownHook shutdown, PrintStream out) {
        String level = values.text(LOG_LEVEL.flag());
        values.require(
                NodeLog.LEVELS.contains(level),
                LOG_LEVEL.flag(),
                "must be one of " + String.join(", ", NodeLog.LEVELS));
        NodeSettings settings = NodeSettingsReader.read(values);
        NodeLog.setLevel(level);
        Node node = Node.start(settings);
        shutdown.setAction(() -> drainAndStop(node));
        NodeSettings bound = node.settings();
        out.println(toJsonLine(
                new Listening("listening", bound.listenAddress(), bound.peerAddress(), bound.adminAddress())));
        out.flush();
        node.awaitStop();
        return EXIT_OK;
    }

    /** Drains and stops the node; returns the exit code of an orderly shutdown. */
    private static int drainAndStop(Node node) {
        node.drain();
        node.stop();
        return EXIT_OK;
    }

    private static String toJsonLine(Listening listening) {
        return new ObjectMapper().valueToTree(listening).toString();
    }

    /** The JSON line that is printed once the node accepts connections. */
    private record Listening(String event, String listen, String peer, String admin) {}
}
