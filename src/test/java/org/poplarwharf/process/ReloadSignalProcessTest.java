package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals a gateway to reload its settings while it reads them for the first time. */
@Timeout(60)
class ReloadSignalProcessTest {
    private static final long SIGNAL_MILLIS = 500;

    @TempDir
    private Path directory;

    @Test
    void gateway_that_is_told_to_reload_its_settings_while_it_starts_does_not_exit() throws Exception {
        Path settings = directory.resolve("node.yaml");
        assertThat(new ProcessBuilder("mkfifo", settings.toString()).start().waitFor())
                .isZero();
        try (PoplarProcess gateway =
                PoplarProcess.start(directory, "gateway", List.of("gateway", "--boot", settings.toString()))) {
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
