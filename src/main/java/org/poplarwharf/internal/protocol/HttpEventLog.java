package org.poplarwharf.internal.protocol;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.EventLog;

/**
 * The platform's log over HTTP.
 *
 * <p>Invariant: an append is sent once. It fails with {@code log-unavailable} only when no connection came up or the log
 * answered 503; every other missing answer is {@code log-outcome-unknown}. Belongs to one reactor thread.
 */
public final class HttpEventLog implements EventLog {
    private static final long CALL_LIMIT_MILLIS = 3_000;
    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final MessagePackCodec<Page> PAGES = new MessagePackCodec<>(Page.class);

    private final String address;
    private final HttpCalls appends;
    private final HttpCalls reads;

    public HttpEventLog(NioReactor reactor, String address) {
        this.address = address;
        this.appends = new HttpCalls(reactor, CALL_LIMIT_MILLIS);
        this.reads = new HttpCalls(reactor, MAX_WAIT_MILLIS + CALL_LIMIT_MILLIS);
    }

    /** Makes such logs. Immutable and thread-safe. */
    public static Factory factory() {
        return HttpEventLog::new;
    }

    @Override
    public Promise<Long> append(String stream, byte[] payload) {
        HttpRequest request = HttpRequest.post(url(stream)).withBody(payload).build();
        return HttpCalls.settle(
                appends.call(request),
                answer -> offset(stream, answer),
                failure -> appendFailure(stream, request, failure));
    }

    @Override
    public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        long waitBoundedMillis = Math.min(waitMillis, MAX_WAIT_MILLIS);
        HttpRequest request = HttpRequest.get(
                        url(stream) + "?from=" + fromOffset + "&max=" + maxRecords + "&wait=" + waitBoundedMillis)
                .build();
        return HttpCalls.settle(
                reads.call(request, waitBoundedMillis + CALL_LIMIT_MILLIS),
                answer -> page(stream, answer),
                failure -> Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, failure));
    }

    private static PoplarWharfException appendFailure(String stream, HttpRequest request, Exception failure) {
        return HttpCalls.neverSent(request)
                ? Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, failure)
                : Reporter.logOutcomeUnknown(stream, failure);
    }

    private static Long offset(String stream, HttpCalls.Answer answer) {
        if (answer.status() == STATUS_UNAVAILABLE) {
            throw Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, null);
        }
        if (answer.status() != STATUS_OK) {
            throw Reporter.logOutcomeUnknown(stream, null);
        }
        try {
            return Long.parseLong(new String(answer.body(), StandardCharsets.US_ASCII));
        } catch (NumberFormatException e) {
            throw Reporter.logOutcomeUnknown(stream, e);
        }
    }

    private Page page(String stream, HttpCalls.Answer answer) {
        if (answer.status() != STATUS_OK) {
            throw Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, null);
        }
        return PAGES.decode(answer.body(), "the log at " + address);
    }

    private String url(String stream) {
        return "http://" + address + "/streams/" + stream;
    }
}
