package org.poplarwharf.internal.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.poplarwharf.FailureCode;
import org.poplarwharf.Node;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admin.StatusReport;
import org.poplarwharf.internal.admin.StatusReport.CellStatus;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * Some nodes and the stand-ins around them in this process.
 *
 * <p>Used by one thread.
 */
final class LocalFleet implements AutoCloseable {
    private static final int START_ATTEMPTS = 5;
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_MILLIS = 100;

    private static final String LOCAL_ADDRESSES = "zz-local-addresses.yaml";

    private final FleetExample example;
    private final LocalFleetOptions options;
    private final LocalStandins standins;
    private final String token = UUID.randomUUID().toString();
    private final List<Node> nodes = new ArrayList<>();
    private final MonotonicClock clock = MonotonicClock.system();

    LocalFleet(FleetExample example, LocalFleetOptions options) {
        this.example = example;
        this.options = options;
        this.standins = new LocalStandins(example.config(), options.pace());
    }

    /** Starts the nodes, publishes the example and waits until each node knows it and every cell has a holder. */
    void start() {
        List<String> zones = zones();
        for (int i = 0; i < options.nodes(); i++) {
            startNode("n" + (i + 1), zones.get(i % zones.size()));
        }
        publish();
        awaitReady();
    }

    LocalStandins standins() {
        return standins;
    }

    String listenAddress(int node) {
        return nodes.get(node).settings().listenAddress();
    }

    String adminAddress(int node) {
        return nodes.get(node).settings().adminAddress();
    }

    List<String> listenAddresses() {
        return nodes.stream().map(node -> node.settings().listenAddress()).toList();
    }

    String token() {
        return token;
    }

    @Override
    public void close() {
        nodes.forEach(Node::drain);
        nodes.forEach(Node::stop);
        standins.stop();
    }

    private List<String> zones() {
        return example.config().cells().stream()
                .map(CellSpec::zones)
                .flatMap(List::stream)
                .toList();
    }

    private void startNode(String nodeId, String zone) {
        String vmId = nodeId + "-vm";
        List<String> arguments = new ArrayList<>(List.of("--node-id", nodeId, "--vm-id", vmId, "--zone", zone));
        for (String flag : List.of("listen", "peer", "admin")) {
            arguments.addAll(List.of("--" + flag, "127.0.0.1:0"));
        }
        arguments.addAll(List.of("--admin-token", token, "--log", standins.logAddress()));
        arguments.addAll(List.of("--vm-list", standins.vmListAddress(), "--peers", peers()));
        arguments.addAll(options.nodeFlags());
        OptionSet nodeOptions = new OptionSet("node", "", NodeSettingsReader.SPECS).withEnvironment(Map.of());
        NodeSettings settings = NodeSettingsReader.read(nodeOptions.parse(arguments));
        Node node = startOnFreePorts(settings);
        nodes.add(node);
        standins.addNode(nodeId, vmId, node.settings().peerAddress(), zone);
    }

    /** Starts a node again where another process took one of its free ports before it listened. */
    private static Node startOnFreePorts(NodeSettings settings) {
        for (int attempt = 1; attempt < START_ATTEMPTS; attempt++) {
            try {
                return Node.start(settings);
            } catch (PoplarWharfException failure) {
                if (failure.code() != FailureCode.SETTINGS_INVALID) {
                    throw failure;
                }
            }
        }
        return Node.start(settings);
    }

    private String peers() {
        return String.join(
                ",", nodes.stream().map(node -> node.settings().peerAddress()).toList());
    }

    /** Publishes as an operator does, with one more file that gives the targets the addresses of their stand-ins. */
    private void publish() {
        TreeMap<String, String> files = new TreeMap<>(example.files());
        files.put(LOCAL_ADDRESSES, localAddresses());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        try {
            Path folder = Files.createTempDirectory("poplarwharf-local");
            try {
                write(folder, files);
                List<String> arguments =
                        List.of("config", "publish", "--log", standins.logAddress(), folder.toString());
                if (Main.run(arguments, stream, stream) != Command.EXIT_OK) {
                    throw Reporter.exampleUnreadable(output.toString(StandardCharsets.UTF_8), null);
                }
            } finally {
                delete(folder, files);
            }
        } catch (IOException e) {
            throw Reporter.exampleUnreadable(LOCAL_ADDRESSES, e);
        }
    }

    private static void write(Path folder, TreeMap<String, String> files) throws IOException {
        for (Map.Entry<String, String> file : files.entrySet()) {
            Files.writeString(folder.resolve(file.getKey()), file.getValue());
        }
    }

    private static void delete(Path folder, TreeMap<String, String> files) throws IOException {
        for (String name : files.keySet()) {
            Files.deleteIfExists(folder.resolve(name));
        }
        Files.delete(folder);
    }

    private String localAddresses() {
        StringBuilder yaml = new StringBuilder("targets:\n");
        for (TargetSpec target : example.config().targets()) {
            yaml.append("  - name: ").append(target.name()).append('\n');
            yaml.append("    override: true\n");
            yaml.append("    address: \"")
                    .append(standins.targetAddress(target.name()))
                    .append("\"\n");
        }
        return yaml.toString();
    }

    private void awaitReady() {
        long startMillis = clock.nowMillis();
        Optional<String> missing = missing();
        while (missing.isPresent()) {
            long waitedMillis = clock.nowMillis() - startMillis;
            if (waitedMillis > READY_TIMEOUT_MILLIS) {
                throw Reporter.quickstartTimedOut(missing.get(), waitedMillis);
            }
            pause(POLL_MILLIS);
            missing = missing();
        }
    }

    /** Returns what is not yet as it should be. */
    private Optional<String> missing() {
        for (int node = 0; node < nodes.size(); node++) {
            StatusReport report = new AdminClient(adminAddress(node), token).status();
            if (!report.ready() || report.cells().isEmpty()) {
                return Optional.of("node " + report.node() + " does not know the configuration");
            }
            for (CellStatus cell : report.cells()) {
                if (cell.holder().isEmpty()) {
                    return Optional.of("cell " + cell.name() + " has no holder");
                }
            }
        }
        return Optional.empty();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("a local fleet", e);
        }
    }
}
