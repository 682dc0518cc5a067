package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class QuickstartProcessTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int REQUEST_COUNT = 6;
    private static final int NODE_COUNT = 3;
    private static final String STATUS_COMMAND = "poplarwharf status --admin";

    @TempDir
    private Path folder;

    @Test
    void quickstart_uses_the_example_in_the_binary_and_all_requests_succeed() throws IOException, InterruptedException {
        Path output = folder.resolve("output.txt");
        List<String> command = new ArrayList<>(BinaryUnderTest.command());
        command.add("quickstart");
        Process process = new ProcessBuilder(command)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            boolean exited = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            String text = Files.readString(output, StandardCharsets.UTF_8);
            assertThat(exited).as(text).isTrue();
            assertThat(process.exitValue()).as(text).isZero();
            assertThat(text.lines().filter(line -> line.contains(" good "))).hasSize(REQUEST_COUNT);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void quickstart_with_keep_serves_the_status_command_and_drains_its_nodes_when_terminated() {
        List<String> arguments = List.of("quickstart", "--keep", "--log-level", "info");
        try (PoplarProcess quickstart = PoplarProcess.start(folder, "quickstart", arguments)) {
            Path output = folder.resolve("quickstart.out");
            eventually("the status command is printed", () -> readText(output).contains(STATUS_COMMAND));
            String line = readText(output)
                    .lines()
                    .filter(printed -> printed.contains(STATUS_COMMAND))
                    .findFirst()
                    .orElseThrow();
            List<String> command = List.of(line.strip().split(" "));
            PoplarProcess.ExitResult status = PoplarProcess.run(folder, "status", command.subList(1, command.size()));
            assertThat(status.output()).as(status.toString()).contains("lookup", "loaded", "running");

            quickstart.terminate();

            assertThat(quickstart.awaitExit()).as(quickstart.errorOutput()).isZero();
            assertThat(quickstart.errorOutput().lines().filter(event -> event.contains("\"node-drained\"")))
                    .hasSize(NODE_COUNT);
            assertThat(quickstart.errorOutput()).doesNotContain("peer-malformed-frame");
        }
    }

    private static String readText(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
