package org.poplarwharf.internal.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Logs the decisions of a process: one JSON line per decision, with the inputs that led to it.
 *
 * <p>Invariant: logging never blocks. If the output stream is too slow and the queue is full, lines are dropped and
 * counted, and the count is logged once the queue has free capacity. Thread-safe.
 */
public final class DecisionLog {
    /** Holds about two seconds of lines of a busy node. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static final long FLUSH_TIMEOUT_MILLIS = 200;

    private static final long FLUSH_POLL_NANOS = 1_000_000L;

    private static final JsonFactory JSON = new JsonFactory();

    private final String nodeId;
    private final String zone;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLineCount = new AtomicLong();

    /** Accepted lines not yet written to the stream. Includes lines being written, which have left the queue. */
    private final AtomicInteger unwrittenLineCount = new AtomicInteger();

    public DecisionLog(String nodeId, String zone, PrintStream stream) {
        this.nodeId = nodeId;
        this.zone = zone;
        Thread writer = new Thread(() -> writeLines(stream), "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs a decision.
     *
     * @param event the decision, as words joined by dashes
     * @param fields alternating names and values; a value is a string, a number or a boolean
     */
    public void log(String event, Object... fields) {
        long droppedCount = droppedLineCount.getAndSet(0);
        if (droppedCount > 0) {
            enqueue(formatLine("log-lines-dropped", "lines", droppedCount));
        }
        enqueue(formatLine(event, fields));
    }

    /** Returns the number of dropped lines that are not yet reported in the log. */
    public long droppedLineCount() {
        return droppedLineCount.get();
    }

    /** Waits until all lines are written, for at most 200 ms. */
    public void flush() {
        flush(FLUSH_TIMEOUT_MILLIS);
    }

    /** Waits until all lines are written, for at most the given time. */
    public void flush(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (unwrittenLineCount.get() > 0 && System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(FLUSH_POLL_NANOS);
        }
    }

    private void enqueue(String line) {
        unwrittenLineCount.incrementAndGet();
        if (!queue.offer(line)) {
            unwrittenLineCount.decrementAndGet();
            droppedLineCount.incrementAndGet();
        }
    }

    private String formatLine(String event, Object... fields) {
        StringWriter line = new StringWriter(160);
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", Instant.now().toString());
            json.writeStringField("event", event);
            json.writeStringField("node", nodeId);
            json.writeStringField("zone", zone);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName(String.valueOf(fields[i]));
                writeValue(json, fields[i + 1]);
            }
            json.writeEndObject();
        } catch (IOException e) {
            return "{\"event\":\"log-line-unwritable\"}";
        }
        return line.append('\n').toString();
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        switch (value) {
            case Long number -> json.writeNumber(number);
            case Integer number -> json.writeNumber(number);
            case Double number -> json.writeNumber(number);
            case Boolean flag -> json.writeBoolean(flag);
            default -> json.writeString(value.toString());
        }
    }

    private void writeLines(PrintStream stream) {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(queue.take());
                int count = 1;
                for (String next = queue.poll(); next != null; next = queue.poll()) {
                    lines.append(next);
                    count++;
                }
                stream.print(lines);
                stream.flush();
                unwrittenLineCount.addAndGet(-count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
