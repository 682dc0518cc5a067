package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals a gateway while it reads its settings for the first time. */
@Timeout(60)
class StartSignalProcessTest {
    private static final long SIGNAL_MILLIS = 500;

    @TempDir
    private Path directory;

    private Path settings;

    @BeforeEach
    void createPipe() throws Exception {
        settings = directory.resolve("node.yaml");
        assertThat(new ProcessBuilder("mkfifo", settings.toString()).start().waitFor())
                .isZero();
    }

    @Test
    void gateway_that_is_told_to_reload_its_settings_while_it_starts_does_not_exit() throws Exception {
        try (PoplarProcess gateway = startGateway()) {
            // Opening the pipe for writing blocks until the gateway has opened it for reading.
            try (OutputStream pipe = Files.newOutputStream(settings)) {
                gateway.signalReload();
                Thread.sleep(SIGNAL_MILLIS);

                assertThat(gateway.isAlive()).isTrue();
                pipe.write(settingsText().getBytes(StandardCharsets.UTF_8));
            }
            Thread.sleep(SIGNAL_MILLIS);
            assertThat(gateway.isAlive()).isTrue();
        }
    }

    @Test
    void gateway_that_is_told_to_stop_while_it_starts_does_not_end_in_the_middle_of_its_start() throws Exception {
        try (PoplarProcess gateway = startGateway()) {
            try (OutputStream pipe = Files.newOutputStream(settings)) {
                gateway.terminate();
                Thread.sleep(SIGNAL_MILLIS);

                assertThat(gateway.isAlive()).isTrue();
                pipe.write(settingsText().getBytes(StandardCharsets.UTF_8));
            }
            assertThat(gateway.awaitExit()).isZero();
        }
    }

    private PoplarProcess startGateway() {
        return PoplarProcess.start(directory, "gateway", List.of("gateway", "--boot", settings.toString()));
    }

    private static String settingsText() throws IOException {
        List<String> addresses = FreePorts.addresses(4);
        int peerPort = port(addresses.get(2));
        return "node: \"g\"\nzone: \"z\"\nip: \"127.0.0.1\"\nlisten:\n  front: \"" + addresses.get(0)
                + "\"\n  ready: \""
                + addresses.get(1) + "\"\nportRange: [" + peerPort + ", " + peerPort + "]\nplatform:\n  addr: \""
                + addresses.get(3) + "\"\n";
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }
}
