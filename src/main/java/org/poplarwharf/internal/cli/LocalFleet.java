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
 * Runs several nodes, with stand-ins for the systems they depend on, in this process.
 *
 * <p>Not thread-safe.
 */
final class LocalFleet implements AutoCloseable {
    private static final int MAX_START_ATTEMPTS = 5;
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_INTERVAL_MILLIS = 100;

    private static final String LOCAL_ADDRESSES_FILE = "zz-local-addresses.yaml";

    private final ExampleConfig example;
    private final LocalFleetOptions options;
    private final LocalStandins standins;
    private final String token = UUID.randomUUID().toString();
    private final List<Node> nodes = new ArrayList<>();
    private final MonotonicClock clock = MonotonicClock.system();

    LocalFleet(ExampleConfig example, LocalFleetOptions options) {
        this.example = example;
        this.options = options;
        this.standins = new LocalStandins(example.config(), options.performance());
    }

    /** Starts the nodes, publishes the example, and waits until every node has it and every cell has a lease holder. */
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
        arguments.addAll(List.of("--vm-list", standins.vmListAddress(), "--peers", peerAddresses()));
        arguments.addAll(options.nodeFlags());
        OptionSet nodeOptions = new OptionSet("node", "", NodeSettingsReader.SPECS).withEnvironment(Map.of());
        NodeSettings settings = NodeSettingsReader.read(nodeOptions.parse(arguments));
        Node node = startWithPortRetries(settings);
        nodes.add(node);
        standins.addNode(nodeId, vmId, node.settings().peerAddress(), zone);
    }

    /** Starts a node; retries if another process takes one of its free ports before the node listens on it. */
    private static Node startWithPortRetries(NodeSettings settings) {
        for (int attempt = 1; attempt < MAX_START_ATTEMPTS; attempt++) {
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

    private String peerAddresses() {
        return String.join(
                ",", nodes.stream().map(node -> node.settings().peerAddress()).toList());
    }

    /** Publishes the example with the config command, plus a file that sets each target's address to its stand-in. */
    private void publish() {
        TreeMap<String, String> files = new TreeMap<>(example.files());
        files.put(LOCAL_ADDRESSES_FILE, localAddressesYaml());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        try {
            Path folder = Files.createTempDirectory("poplarwharf-local");
            try {
                writeFiles(folder, files);
                List<String> arguments =
                        List.of("config", "publish", "--log", standins.logAddress(), folder.toString());
                if (Main.run(arguments, stream, stream) != Command.EXIT_OK) {
                    throw Reporter.exampleUnreadable(output.toString(StandardCharsets.UTF_8), null);
                }
            } finally {
                deleteFiles(folder, files);
            }
        } catch (IOException e) {
            throw Reporter.exampleUnreadable(LOCAL_ADDRESSES_FILE, e);
        }
    }

    private static void writeFiles(Path folder, TreeMap<String, String> files) throws IOException {
        for (Map.Entry<String, String> file : files.entrySet()) {
            Files.writeString(folder.resolve(file.getKey()), file.getValue());
        }
    }

    private static void deleteFiles(Path folder, TreeMap<String, String> files) throws IOException {
        for (String name : files.keySet()) {
            Files.deleteIfExists(folder.resolve(name));
        }
        Files.delete(folder);
    }

    private String localAddressesYaml() {
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
        Optional<String> notReadyReason = notReadyReason();
        while (notReadyReason.isPresent()) {
            long waitedMillis = clock.nowMillis() - startMillis;
            if (waitedMillis > READY_TIMEOUT_MILLIS) {
                throw Reporter.quickstartTimedOut(notReadyReason.get(), waitedMillis);
            }
            sleep(POLL_INTERVAL_MILLIS);
            notReadyReason = notReadyReason();
        }
    }

    /** Returns the first condition that still keeps the fleet from being ready, if any. */
    private Optional<String> notReadyReason() {
        for (int node = 0; node < nodes.size(); node++) {
            StatusReport report = new AdminClient(adminAddress(node), token).status();
            if (!report.ready() || report.cells().isEmpty()) {
                return Optional.of("node " + report.node() + " does not have the configuration yet");
            }
            for (CellStatus cell : report.cells()) {
                if (cell.holder().isEmpty()) {
                    return Optional.of("cell " + cell.name() + " has no lease holder yet");
                }
            }
        }
        return Optional.empty();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.interrupted("a local fleet", e);
        }
    }
}
