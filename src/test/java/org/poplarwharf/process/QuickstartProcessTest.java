package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
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
}
