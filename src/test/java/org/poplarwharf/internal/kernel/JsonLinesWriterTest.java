package org.poplarwharf.internal.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

class JsonLinesWriterTest {
    @Test
    void entry_is_written_as_one_json_line_with_its_fields_and_exception() throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Exception cause = new IllegalStateException("two\nlines \"quoted\"");
        LogEntry entry = new LogEntry(
                RuntimeProvider.createTimestamp(),
                null,
                Map.of("node", "n1", "code", "internal"),
                null,
                null,
                null,
                0,
                null,
                Level.ERROR,
                "unexpected-exception",
                cause);
        new JsonLinesWriter(new PrintStream(output, true)).write(entry);
        assertThat(output.toString().lines()).hasSize(1);
        JsonNode line = new ObjectMapper().readTree(output.toString());
        assertThat(line.get("event").asText()).isEqualTo("unexpected-exception");
        assertThat(line.get("level").asText()).isEqualTo("error");
        assertThat(line.get("node").asText()).isEqualTo("n1");
        assertThat(line.get("code").asText()).isEqualTo("internal");
        assertThat(line.get("exception").asText()).contains("quoted");
        assertThat(line.get("stack").size()).isPositive();
    }
}
