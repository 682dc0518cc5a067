package org.poplarwharf.internal.kernel;

import java.util.List;
import java.util.Map;
import org.poplarwharf.FailureCode;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;

/**
 * The log of a node: JSON lines of typed events.
 *
 * <p>Invariant: a line holds names and codes, never a caller's payload. Thread-safe.
 */
public final class NodeLog {
    /** The levels that can be set, from the most lines to none. */
    public static final List<String> LEVELS = List.of("trace", "debug", "info", "warn", "error", "off");

    private static final String LEVEL = "level";
    private static final String LIBRARY_LEVEL = "warn";
    private static final List<String> LIBRARY_LEVEL_KEYS = List.of("level@io.activej", "level@io.activej.eventloop");
    private static final String NODE = "node";
    private static final String ZONE = "zone";

    private final String nodeId;
    private final String zone;

    public NodeLog(String nodeId, String zone) {
        this.nodeId = nodeId;
        this.zone = zone;
    }

    /** Sets the least level that is logged. Works only before the first line of this process. */
    public static void setLevel(String level) {
        Configuration.set(LEVEL, level);
        if (LEVELS.indexOf(level) > LEVELS.indexOf(LIBRARY_LEVEL)) {
            LIBRARY_LEVEL_KEYS.forEach(key -> Configuration.set(key, level));
        }
    }

    /** Logs an event of the node as a whole. */
    public void event(LogEvent event) {
        write(event, Map.of(), null);
    }

    /** Logs an event about a named thing: a role, a cell, a target or an artifact. */
    public void event(LogEvent event, String subject) {
        write(event, Map.of("subject", subject), null);
    }

    /** Logs how a request failed. */
    public void request(LogEvent event, String requestId, FailureCode code) {
        write(event, Map.of("requestId", requestId, "code", code.text()), null);
    }

    /** Logs a failure that is not a request's. */
    public void failure(LogEvent event, FailureCode code, String subject, Throwable cause) {
        write(event, Map.of("code", code.text(), "subject", subject), cause);
    }

    /** Makes the calling thread a thread of this node: every line that it logs, by libraries too, names the node. */
    void bindThread() {
        ThreadContext.put(NODE, nodeId);
        ThreadContext.put(ZONE, zone);
    }

    private void write(LogEvent event, Map<String, String> fields, Throwable cause) {
        Map<String, String> before = Map.copyOf(ThreadContext.getMapping());
        fields.forEach(ThreadContext::put);
        bindThread();
        try {
            log(event, cause);
        } finally {
            ThreadContext.clear();
            before.forEach(ThreadContext::put);
        }
    }

    private static void log(LogEvent event, Throwable cause) {
        String text = event.text();
        switch (event.level()) {
            case DEBUG -> Logger.debug(cause, text);
            case INFO -> Logger.info(cause, text);
            case WARN -> Logger.warn(cause, text);
            case ERROR -> Logger.error(cause, text);
        }
    }
}
