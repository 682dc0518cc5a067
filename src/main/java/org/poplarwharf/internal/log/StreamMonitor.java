package org.poplarwharf.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.poplarwharf.internal.failure.Reporter;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** Writes the log lines and updates the counters of one stream. Thread-safe. */
final class StreamMonitor {
    private static final String SUBJECT_KEY = "subject";
    private static final String CODE_KEY = "code";

    private final String stream;
    final Counter appends;
    final Counter duplicates;
    final Counter skipped;
    final Counter gaps;
    final Counter failedReads;
    final Counter failedAppends;

    StreamMonitor(String stream, MetricRegistry metrics) {
        this.stream = stream;
        String prefix = "log." + stream + ".";
        appends = metrics.counter(prefix + "appends");
        duplicates = metrics.counter(prefix + "repeats");
        skipped = metrics.counter(prefix + "skipped");
        gaps = metrics.counter(prefix + "gaps");
        failedReads = metrics.counter(prefix + "failed-reads");
        failedAppends = metrics.counter(prefix + "failed-appends");
    }

    void info(StreamEvent event) {
        ThreadContext.put(SUBJECT_KEY, stream);
        try {
            Logger.info(event.text());
        } finally {
            ThreadContext.remove(SUBJECT_KEY);
        }
    }

    void warn(StreamEvent event, Throwable cause) {
        ThreadContext.put(SUBJECT_KEY, stream);
        ThreadContext.put(CODE_KEY, Reporter.codeOf(cause).text());
        try {
            Logger.warn(cause, event.text());
        } finally {
            ThreadContext.remove(SUBJECT_KEY);
            ThreadContext.remove(CODE_KEY);
        }
    }
}
