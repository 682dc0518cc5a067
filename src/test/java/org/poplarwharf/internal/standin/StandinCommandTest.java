package org.poplarwharf.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cli.Command;

class StandinCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return new StandinCommand()
                .run(
                        List.of(arguments),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @Test
    void every_kind_prints_its_options() {
        for (String kind : List.of("log", "vms", "store", "engine", "service", "proxy")) {
            out.reset();
            assertThat(run(kind, "--help")).isEqualTo(Command.EXIT_OK);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("--listen", "--admin", "--journal");
        }
    }

    @Test
    void all_invalid_options_are_reported_at_once() {
        assertThat(run("engine", "--listen", "nowhere", "--token", "5 parsecs", "--max-running", "0"))
                .isEqualTo(Command.EXIT_USAGE);

        assertThat(err.toString(StandardCharsets.UTF_8)).contains("--listen", "--token", "--max-running");
    }

    @Test
    void unknown_kind_malformed_link_and_missing_upstream_are_usage_errors() {
        assertThat(run("bogus")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("proxy")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("proxy", "--links", "a=b")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run()).isEqualTo(Command.EXIT_USAGE);
    }

    @Test
    void unusable_listening_address_ends_the_command_with_a_usage_error() {
        assertThat(run("log", "--listen", "192.0.2.1:1")).isEqualTo(Command.EXIT_USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("192.0.2.1");
    }
}
