package org.poplarwharf.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.config.ConfigRecord;
import org.poplarwharf.internal.log.FakeEventLog;
import org.poplarwharf.internal.log.RecordBatch;
import org.poplarwharf.plugins.EventLog;

class ConfigCommandTest {
    private static final String CELLS = "cells: [{name: main, zones: [a]}]\n";
    private static final String LOG_ADDRESS = "127.0.0.1:1";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** The payloads appended by all runs of a test; the log of each run starts with them. */
    private final List<byte[]> appendedPayloads = new ArrayList<>();

    /** A change by another operator, appended after a run has read the log and before the run's own append. */
    private byte[] concurrentChange;

    private boolean logOutage;
    private double lostResponseRatio;

    @Test
    void check_reports_file_key_and_reason_of_every_error() throws IOException {
        write("a.yaml", "cells: [{name: main}]\nmodles: []\n");

        assertThat(run("check", folder.toString())).isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("a.yaml: modles: unknown section").contains("config check: config-invalid: ");
        write("a.yaml", CELLS);
        assertThat(run("check", folder.toString())).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("valid: 1 cells");
    }

    @Test
    void publish_show_and_history_report_the_current_configuration() throws IOException {
        write("a.yaml", CELLS);
        assertThat(run("publish", folder.toString(), "--log", LOG_ADDRESS, "--operator", "ann"))
                .isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("+ a.yaml", "accepted: version 0");
        assertThat(run("publish", folder.toString(), "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("nothing to change");
        assertThat(run("show", "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("name: \"main\"");
        assertThat(run("history", "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("0 ann accepted");
    }

    @Test
    void publish_reports_a_conflicting_concurrent_change() throws IOException {
        write("a.yaml", CELLS);
        concurrentChange = encodeChange("bob", "a.yaml", "cells: [{name: other, zones: [a]}]");

        assertThat(run("publish", folder.toString(), "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("refused: a.yaml is at version 0, published by bob");
    }

    @Test
    void publish_finds_its_change_in_the_log_after_a_lost_response() throws IOException {
        write("a.yaml", CELLS);
        lostResponseRatio = 1;

        assertThat(run("publish", folder.toString(), "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("accepted: version 0");
    }

    @Test
    void publish_reports_a_log_outage_as_log_unavailable() throws IOException {
        write("a.yaml", CELLS);
        logOutage = true;

        assertThat(run("publish", folder.toString(), "--log", LOG_ADDRESS, "--timeout", "100ms"))
                .isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("log-unavailable");
    }

    @Test
    void invalid_arguments_return_the_usage_exit_code() {
        assertThat(run("publish", "--log", LOG_ADDRESS)).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("publish", folder.toString())).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("show", "--log", "nowhere")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("renew")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("check", folder.resolve("none").toString())).isEqualTo(Command.EXIT_FAILED);
    }

    private int run(String... arguments) {
        ConfigCommand command = new ConfigCommand(() -> (reactor, address) -> {
            FakeEventLog log = new FakeEventLog(reactor, 1);
            log.outage = logOutage;
            log.lostResponseProbability = lostResponseRatio;
            appendedPayloads.forEach(payload -> log.store(ConfigRecord.STREAM, payload));
            return new RecordingEventLog(log);
        });
        return command.run(List.of(arguments), new PrintStream(out, true), new PrintStream(err, true));
    }

    private final class RecordingEventLog implements EventLog {
        private final FakeEventLog log;

        private RecordingEventLog(FakeEventLog log) {
            this.log = log;
        }

        @Override
        public Promise<Long> append(String stream, byte[] payload) {
            if (concurrentChange != null) {
                log.store(stream, concurrentChange);
                concurrentChange = null;
            }
            appendedPayloads.add(payload);
            return log.append(stream, payload);
        }

        @Override
        public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
            return log.read(stream, fromOffset, maxRecords, waitMillis);
        }
    }

    private static byte[] encodeChange(String operator, String file, String content) {
        ConfigRecord change = new ConfigRecord.ChangeProposed(
                "other", operator, List.of(new ConfigRecord.FileChange(file, -1, java.util.Optional.of(content))));
        byte[] record = new MessagePackCodec<>(ConfigRecord.class).encode(change);
        return new MessagePackCodec<>(RecordBatch.class).encode(new RecordBatch(operator, 1, 0, List.of(record)));
    }

    private void write(String name, String content) throws IOException {
        Files.writeString(folder.resolve(name), content);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
