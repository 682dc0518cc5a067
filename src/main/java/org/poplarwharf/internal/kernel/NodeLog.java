package org.poplarwharf.internal.kernel;

import java.util.List;
import java.util.Map;
import org.poplarwharf.FailureCode;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;

/**
 * Logs the events of a node as JSON lines.
 *
 * <p>Invariant: a line contains names and codes, never payload of a caller. Thread-safe.
 */
public final class NodeLog {
    /** The log levels, from the most verbose to none. */
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

    /** Sets the minimum level that is logged. Has an effect only before the process logs its first line. */
    public static void setLevel(String level) {
        Configuration.set(LEVEL, level);
        if (LEVELS.indexOf(level) > LEVELS.indexOf(LIBRARY_LEVEL)) {
            LIBRARY_LEVEL_KEYS.forEach(key -> Configuration.set(key, level));
        }
    }

    /** Logs an event that concerns the node as a whole. */
    public void logEvent(NodeLogEvent event) {
        write(event, Map.of(), null);
    }

    /** Logs an event with its subject, the name of a role, cell, target or artifact. */
    public void logEvent(NodeLogEvent event, String subject) {
        write(event, Map.of("subject", subject), null);
    }

    /** Logs the failure of a request. */
    public void logRequestFailure(NodeLogEvent event, String requestId, FailureCode code) {
        write(event, Map.of("requestId", requestId, "code", code.text()), null);
    }

    /** Logs a failure that does not belong to a request. */
    public void logFailure(NodeLogEvent event, FailureCode code, String subject, Throwable cause) {
        write(event, Map.of("code", code.text(), "subject", subject), cause);
    }

    /** Adds the node and zone to every line that the calling thread logs, including lines from libraries. */
    void setThreadContext() {
        ThreadContext.put(NODE, nodeId);
        ThreadContext.put(ZONE, zone);
    }

    private void write(NodeLogEvent event, Map<String, String> fields, Throwable cause) {
        Map<String, String> previousContext = Map.copyOf(ThreadContext.getMapping());
        fields.forEach(ThreadContext::put);
        setThreadContext();
        try {
            log(event, cause);
        } finally {
            ThreadContext.clear();
            previousContext.forEach(ThreadContext::put);
        }
    }

    private static void log(NodeLogEvent event, Throwable cause) {
        String name = event.logName();
        switch (event.level()) {
            case DEBUG -> Logger.debug(cause, name);
            case INFO -> Logger.info(cause, name);
            case WARN -> Logger.warn(cause, name);
            case ERROR -> Logger.error(cause, name);
        }
    }
}
