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
    private static final long LIMIT_SECONDS = 30;
    private static final int REQUESTS = 6;
    private static final int NODES = 3;
    private static final String STATUS_LINE = "poplarwharf status --admin";

    @TempDir
    private Path folder;

    @Test
    void quickstart_finds_its_example_in_the_binary_and_all_is_as_it_should_be()
            throws IOException, InterruptedException {
        Path output = folder.resolve("output.txt");
        List<String> command = new ArrayList<>(Binary.command());
        command.add("quickstart");
        Process process = new ProcessBuilder(command)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            boolean ended = process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS);
            String text = Files.readString(output, StandardCharsets.UTF_8);
            assertThat(ended).as(text).isTrue();
            assertThat(process.exitValue()).as(text).isZero();
            assertThat(text.lines().filter(line -> line.contains(" good "))).hasSize(REQUESTS);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void kept_up_it_answers_the_status_command_and_drains_its_nodes_when_asked_to_end() {
        List<String> arguments = List.of("quickstart", "--keep", "--log-level", "info");
        try (PoplarProcess quickstart = PoplarProcess.start(folder, "quickstart", arguments)) {
            Path output = folder.resolve("quickstart.out");
            eventually("its last line is printed", () -> text(output).contains(STATUS_LINE));
            String line = text(output)
                    .lines()
                    .filter(printed -> printed.contains(STATUS_LINE))
                    .findFirst()
                    .orElseThrow();
            List<String> command = List.of(line.strip().split(" "));
            PoplarProcess.Ended status = PoplarProcess.run(folder, "status", command.subList(1, command.size()));
            assertThat(status.output()).as(status.toString()).contains("lookup", "loaded", "running");

            quickstart.terminate();

            assertThat(quickstart.awaitExit()).as(quickstart.errorText()).isZero();
            assertThat(quickstart.errorText().lines().filter(event -> event.contains("\"node-drained\"")))
                    .hasSize(NODES);
            assertThat(quickstart.errorText()).doesNotContain("peer-malformed-frame");
        }
    }

    private static String text(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
