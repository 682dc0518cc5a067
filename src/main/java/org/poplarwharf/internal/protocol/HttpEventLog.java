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
 * A client of the platform's log over HTTP.
 *
 * <p>Invariant: an append is sent once. It fails with {@code log-unavailable} only if no connection was established or the
 * log responded with status 503. Any other failure is {@code log-outcome-unknown}. Confined to one reactor thread.
 */
public final class HttpEventLog implements EventLog {
    private static final long CALL_TIMEOUT_MILLIS = 3_000;
    private static final long MAX_READ_WAIT_MILLIS = 10_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final MessagePackCodec<Page> PAGE_CODEC = new MessagePackCodec<>(Page.class);

    private final String address;
    private final SingleUseHttpClient appendClient;
    private final SingleUseHttpClient readClient;

    public HttpEventLog(NioReactor reactor, String address) {
        this.address = address;
        this.appendClient = new SingleUseHttpClient(reactor, CALL_TIMEOUT_MILLIS);
        this.readClient = new SingleUseHttpClient(reactor, MAX_READ_WAIT_MILLIS + CALL_TIMEOUT_MILLIS);
    }

    /** Returns a factory of these clients, which is immutable and thread-safe. */
    public static Factory factory() {
        return HttpEventLog::new;
    }

    @Override
    public Promise<Long> append(String stream, byte[] payload) {
        HttpRequest request = HttpRequest.post(url(stream)).withBody(payload).build();
        return SingleUseHttpClient.mapResult(
                appendClient.send(request),
                response -> decodeOffset(stream, response),
                error -> toAppendFailure(stream, request, error));
    }

    @Override
    public Promise<Page> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        long boundedWaitMillis = Math.min(waitMillis, MAX_READ_WAIT_MILLIS);
        HttpRequest request = HttpRequest.get(
                        url(stream) + "?from=" + fromOffset + "&max=" + maxRecords + "&wait=" + boundedWaitMillis)
                .build();
        return SingleUseHttpClient.mapResult(
                readClient.send(request, boundedWaitMillis + CALL_TIMEOUT_MILLIS),
                response -> decodePage(stream, response),
                error -> Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, error));
    }

    private static PoplarWharfException toAppendFailure(String stream, HttpRequest request, Exception error) {
        return SingleUseHttpClient.failedToConnect(request)
                ? Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, error)
                : Reporter.logOutcomeUnknown(stream, error);
    }

    private static Long decodeOffset(String stream, SingleUseHttpClient.Response response) {
        if (response.status() == STATUS_UNAVAILABLE) {
            throw Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, null);
        }
        if (response.status() != STATUS_OK) {
            throw Reporter.logOutcomeUnknown(stream, null);
        }
        try {
            return Long.parseLong(new String(response.body(), StandardCharsets.US_ASCII));
        } catch (NumberFormatException e) {
            throw Reporter.logOutcomeUnknown(stream, e);
        }
    }

    private Page decodePage(String stream, SingleUseHttpClient.Response response) {
        if (response.status() != STATUS_OK) {
            throw Reporter.logUnavailable(stream, RETRY_AFTER_MILLIS, null);
        }
        return PAGE_CODEC.decode(response.body(), "the log at " + address);
    }

    private String url(String stream) {
        return "http://" + address + "/streams/" + stream;
    }
}
