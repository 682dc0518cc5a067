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
    private static final String LOG = "127.0.0.1:1";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** What all runs of one test append; each run's log replays it. */
    private final List<byte[]> appended = new ArrayList<>();

    /** Appended by another operator between a run's reading and its own append. */
    private byte[] raced;

    private boolean outage;
    private double lostAnswers;

    @Test
    void check_names_file_key_and_reason_of_every_fault() throws IOException {
        write("a.yaml", "cells: [{name: main}]\nmodles: []\n");

        assertThat(run("check", folder.toString())).isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("a.yaml: modles: unknown section").contains("config check: config-invalid: ");
        write("a.yaml", CELLS);
        assertThat(run("check", folder.toString())).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("valid: 1 cells");
    }

    @Test
    void publish_show_and_history_tell_what_is_in_force() throws IOException {
        write("a.yaml", CELLS);
        assertThat(run("publish", folder.toString(), "--log", LOG, "--operator", "ann"))
                .isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("+ a.yaml", "accepted: version 0");
        assertThat(run("publish", folder.toString(), "--log", LOG)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("nothing to change");
        assertThat(run("show", "--log", LOG)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("name: \"main\"");
        assertThat(run("history", "--log", LOG)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("0 ann accepted");
    }

    @Test
    void publish_that_loses_a_race_tells_what_it_lost_to() throws IOException {
        write("a.yaml", CELLS);
        raced = change("bob", "a.yaml", "cells: [{name: other, zones: [a]}]");

        assertThat(run("publish", folder.toString(), "--log", LOG)).isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("refused: a.yaml is at version 0, published by bob");
    }

    @Test
    void publish_settles_a_lost_answer_by_reading_on() throws IOException {
        write("a.yaml", CELLS);
        lostAnswers = 1;

        assertThat(run("publish", folder.toString(), "--log", LOG)).isEqualTo(Command.EXIT_OK);
        assertThat(text(out)).contains("accepted: version 0");
    }

    @Test
    void an_outage_is_told_apart_from_a_refusal() throws IOException {
        write("a.yaml", CELLS);
        outage = true;

        assertThat(run("publish", folder.toString(), "--log", LOG, "--timeout", "100ms"))
                .isEqualTo(Command.EXIT_FAILED);
        assertThat(text(err)).contains("log-unavailable");
    }

    @Test
    void wrong_arguments_end_with_the_usage_code() {
        assertThat(run("publish", "--log", LOG)).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("publish", folder.toString())).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("show", "--log", "nowhere")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("renew")).isEqualTo(Command.EXIT_USAGE);
        assertThat(run("check", folder.resolve("none").toString())).isEqualTo(Command.EXIT_FAILED);
    }

    private int run(String... arguments) {
        ConfigCommand command = new ConfigCommand(() -> (reactor, address) -> {
            FakeEventLog log = new FakeEventLog(reactor, 1);
            log.outage = outage;
            log.lostResponseProbability = lostAnswers;
            appended.forEach(payload -> log.store(ConfigRecord.STREAM, payload));
            return new Recording(log);
        });
        return command.run(List.of(arguments), new PrintStream(out, true), new PrintStream(err, true));
    }

    private final class Recording implements EventLog {
        private final FakeEventLog log;

        private Recording(FakeEventLog log) {
            this.log = log;
        }

        @Override
        public Promise<Long> append(String stream, byte[] payload) {
            if (raced != null) {
                log.store(stream, raced);
                raced = null;
            }
            appended.add(payload);
            return log.append(stream, payload);
        }

        @Override
        public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
            return log.read(stream, fromOffset, maxRecords, waitMillis);
        }
    }

    private static byte[] change(String operator, String file, String content) {
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
