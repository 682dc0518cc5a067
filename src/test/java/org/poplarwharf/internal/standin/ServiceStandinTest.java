package org.poplarwharf.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.TestHttpClient;

class ServiceStandinTest {
    @TempDir
    private Path directory;

    private final ReactorThread thread = new ReactorThread();
    private final TestHttpClient http = new TestHttpClient(thread);
    private ServiceStandin service;

    @BeforeEach
    void start() {
        StandinAddresses addresses = new StandinAddresses(
                StandinAddresses.parse("127.0.0.1:0"),
                StandinAddresses.parse("127.0.0.1:0"),
                Optional.of(directory.resolve("journal")));
        service = thread.call(() -> ServiceStandin.start(thread.reactor(), addresses, 0));
    }

    @AfterEach
    void stop() {
        thread.run(service::stop);
        thread.close();
    }

    private List<ServiceCall> calls() {
        return thread.call(() -> service.journal().events());
    }

    @Test
    void every_call_is_journalled_with_the_hash_of_its_body() {
        TestHttpClient.Response response = http.post(service.address() + "/bonds/7", "cask");

        String bodyHash = Hashes.sha256("cask".getBytes(StandardCharsets.UTF_8));
        assertThat(response.status()).isEqualTo(200);
        assertThat(calls()).containsExactly(new ServiceCall(1, "POST", "/bonds/7", bodyHash, Optional.empty()));
    }

    @Test
    void call_with_a_truncated_response_still_takes_effect() {
        thread.run(() -> service.faults().set(new ServiceFaults(0, 200, false, 1, 0)));

        assertThatThrownBy(() -> http.post(service.address() + "/bonds", "a")).isInstanceOf(Exception.class);
        assertThat(http.post(service.address() + "/bonds", "b").status()).isEqualTo(200);
        assertThat(calls()).hasSize(2);
    }

    @Test
    void call_before_a_crash_is_in_the_journal_file() throws Exception {
        thread.run(() -> service.faults().set(new ServiceFaults(0, 200, true, 0, 0)));

        assertThatThrownBy(() -> http.post(service.address() + "/bonds", "a")).isInstanceOf(Exception.class);

        assertThat(Files.readAllLines(directory.resolve("journal")))
                .singleElement()
                .asString()
                .contains("\"path\":\"/bonds\"");
        assertThatThrownBy(() -> http.get(service.address() + "/bonds")).isInstanceOf(Exception.class);
    }

    @Test
    void administration_serves_the_journal_and_rejects_unknown_faults() {
        http.post(service.address() + "/x", "a");

        assertThat(http.get(service.adminAddress() + "/journal").body()).contains("\"path\":\"/x\"");
        assertThat(http.put(service.adminAddress() + "/faults", "{\"bogus\":1}").status())
                .isEqualTo(400);
        assertThat(http.get(service.adminAddress() + "/faults").body()).contains("\"status\":200");
    }
}
