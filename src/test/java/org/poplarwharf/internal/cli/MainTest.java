package org.poplarwharf.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.kernel.NodeSettings;

class MainTest {
    private static final List<String> REQUIRED_OPTIONS =
            List.of("--node-id", "n1", "--zone", "a", "--log", "127.0.0.1:1", "--vm-list", "127.0.0.1:2");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void help_lists_commands_and_options() {
        assertThat(run("--help")).isZero();
        assertThat(out.toString()).contains("node").contains("runs a node");
        assertThat(run("node", "--help")).isZero();
        assertThat(out.toString()).contains("--lease DURATION").contains("POPLARWHARF_LEASE, default 3s");
    }

    @Test
    void usage_errors_print_one_line_and_return_exit_code_2() {
        assertThat(run("dance")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("node", "--colour")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("node", "--lease")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("node", "now")).isEqualTo(Command.EXIT_USAGE);
        assertThat(err.toString().lines())
                .containsExactly(
                        "poplarwharf: unknown command 'dance'; see poplarwharf --help.",
                        "poplarwharf node: unknown option '--colour'; see poplarwharf node --help.",
                        "poplarwharf node: --lease needs a value; see poplarwharf node --help.",
                        "poplarwharf node: unexpected argument 'now'; see poplarwharf node --help.");
    }

    @Test
    void reports_all_invalid_settings_at_once() {
        int code = run("node", "--lease", "3x", "--listen", "here", "--traffic-threads", "0", "--node-id", "n1");
        assertThat(code).isEqualTo(Command.EXIT_USAGE);
        assertThat(err.toString().lines())
                .containsExactlyInAnyOrder(
                        "poplarwharf node: --zone: must be given.",
                        "poplarwharf node: --listen: 'here' is not an address; write host:port.",
                        "poplarwharf node: --log: must be given.",
                        "poplarwharf node: --vm-list: must be given.",
                        "poplarwharf node: --traffic-threads: '0' is outside 1 to 256.",
                        "poplarwharf node: --lease: '3x' is not a duration; write 500ms, 3s or 2m.");
    }

    @Test
    void validates_combinations_of_settings() {
        assertThat(readSettings(Map.of(), "--renew", "2s", "--drift", "4s")).isNull();
        assertThat(err.toString().lines())
                .containsExactly(
                        "poplarwharf node: --renew: must be above zero and at most half of --lease.",
                        "poplarwharf node: --drift: must be below --lease.");
    }

    @Test
    void environment_variables_replace_flags_and_flags_take_precedence() {
        Map<String, String> environment =
                Map.of("POPLARWHARF_LEASE", "2m", "POPLARWHARF_RENEW", "500ms", "POPLARWHARF_PEERS", "h:1, h:2");
        NodeSettings settings = readSettings(environment, "--renew", "700ms");
        assertThat(settings.leaseMillis()).isEqualTo(120_000);
        assertThat(settings.leaseRenewMillis()).isEqualTo(700);
        assertThat(settings.peers()).containsExactly("h:1", "h:2");
        assertThat(settings.vmId()).isEqualTo("n1");
    }

    private NodeSettings readSettings(Map<String, String> environment, String... additionalArguments) {
        AtomicReference<NodeSettings> read = new AtomicReference<>();
        OptionSet options = new OptionSet("node", "", NodeSettingsReader.SPECS).withEnvironment(environment);
        List<String> arguments = new java.util.ArrayList<>(REQUIRED_OPTIONS);
        arguments.addAll(List.of(additionalArguments));
        options.run(arguments, new PrintStream(out, true), new PrintStream(err, true), values -> {
            read.set(NodeSettingsReader.read(values));
            return Command.EXIT_OK;
        });
        return read.get();
    }

    private int run(String... arguments) {
        return Main.run(List.of(arguments), new PrintStream(out, true), new PrintStream(err, true));
    }
}
