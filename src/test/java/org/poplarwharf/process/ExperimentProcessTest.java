package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the experiment command on a loopback fleet and checks its results. Time budget: 15 s on an idle machine. */
class ExperimentProcessTest {
    private static final long TIMEOUT_SECONDS = 60;

    @TempDir
    private Path folder;

    @Test
    void an_experiment_measures_cold_starts_and_idle_hours_and_overcommits_nothing()
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(BinaryUnderTest.command());
        command.addAll(List.of("experiment", "idle", "--deployment", "balkan", "--seed", "3", "--trace", "30s"));
        command.addAll(List.of("--policies", "fixed", "--keep-alives", "10", "--out", "results"));
        Path output = folder.resolve("output.txt");
        Process process = new ProcessBuilder(command)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            boolean exited = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            String text = Files.readString(output);
            assertThat(exited).as(text).isTrue();
            assertThat(process.exitValue()).as(text).isZero();
        } finally {
            process.destroyForcibly();
        }
        Path results = folder.resolve("results");
        JsonNode result =
                new ObjectMapper().readTree(results.resolve("idle-balkan.json").toFile());
        JsonNode point = result.path("points").path(0);
        assertThat(point.path("breaches").asInt()).isZero();
        assertThat(point.path("coldStarts").path("answered").asInt()).isPositive();
        assertThat(point.path("idleHours").asDouble())
                .isGreaterThanOrEqualTo(result.path("boundIdleHours").asDouble());
        assertThat(results.resolve("idle-balkan.png")).isNotEmptyFile();
        assertThat(results.resolve("idle-balkan.md")).content().contains("| fixed | 10 |");
    }
}
