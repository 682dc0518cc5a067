package org.poplarwharf.internal.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The log of what a process decides: one JSON line for each decision, with the inputs that decided it.
 *
 * <p>Invariant: logging never blocks; lines that the reader of the stream doesn't take are dropped and counted, and the
 * count is logged once there is room. Thread-safe.
 */
public final class DecisionLog {
    /** About two seconds of a busy node's lines. */
    private static final int MAX_WAITING_LINES = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final String nodeId;
    private final String zone;
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /** Lines that were taken and are not on the stream yet; one that is being written is no longer in the queue. */
    private final AtomicInteger unwritten = new AtomicInteger();

    public DecisionLog(String nodeId, String zone, PrintStream stream) {
        this.nodeId = nodeId;
        this.zone = zone;
        Thread writer = new Thread(() -> write(stream), "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs a decision.
     *
     * @param event what was decided, in words joined by dashes
     * @param fields names and values in turn; a value is a text, a number or a truth value
     */
    public void log(String event, Object... fields) {
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            offer(line("log-lines-dropped", "lines", lost));
        }
        offer(line(event, fields));
    }

    /** Returns how many lines were dropped since the last one that was taken. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits, for a moment at most, until all lines are out. */
    public void flush() {
        long limitNanos = System.nanoTime() + 200_000_000L;
        while (unwritten.get() > 0 && System.nanoTime() < limitNanos) {
            Thread.onSpinWait();
        }
    }

    private void offer(String line) {
        unwritten.incrementAndGet();
        if (!waiting.offer(line)) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private String line(String event, Object... fields) {
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

    private void write(PrintStream stream) {
        try {
            while (true) {
                StringBuilder lines = new StringBuilder(waiting.take());
                int count = 1;
                for (String next = waiting.poll(); next != null; next = waiting.poll()) {
                    lines.append(next);
                    count++;
                }
                stream.print(lines);
                stream.flush();
                unwritten.addAndGet(-count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
