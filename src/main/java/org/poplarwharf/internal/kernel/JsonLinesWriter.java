package org.poplarwharf.internal.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer that prints each entry to standard error as one JSON line. Its tinylog name is {@code json lines}.
 *
 * <p>Thread-safe: each entry is printed by one call to the stream.
 */
public final class JsonLinesWriter implements Writer {
    private static final JsonFactory JSON = new JsonFactory();

    private final PrintStream stream;

    /** Creates the writer. tinylog calls this constructor with the properties from its configuration. */
    public JsonLinesWriter(Map<String, String> properties) {
        this(System.err);
    }

    JsonLinesWriter(PrintStream stream) {
        this.stream = stream;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", entry.getTimestamp().toInstant().toString());
            json.writeStringField("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
            json.writeStringField("event", entry.getMessage());
            for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            writeException(json, entry.getException());
            json.writeEndObject();
        }
        stream.println(line);
    }

    @Override
    public void flush() {
        stream.flush();
    }

    @Override
    public void close() {
        stream.flush();
    }

    private static void writeException(JsonGenerator json, Throwable exception) throws IOException {
        if (exception == null) {
            return;
        }
        json.writeStringField("exception", exception.toString());
        json.writeArrayFieldStart("stack");
        for (StackTraceElement frame : exception.getStackTrace()) {
            json.writeString(frame.toString());
        }
        json.writeEndArray();
    }
}
