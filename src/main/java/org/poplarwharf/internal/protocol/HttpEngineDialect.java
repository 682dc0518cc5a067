package org.poplarwharf.internal.protocol;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.plugins.EngineDialect;

/**
 * The dialect of engines that accept chat completions in the OpenAI format, and orders as JSON, over HTTP.
 *
 * <p>Invariant: an order is sent once, on a new connection. Confined to one reactor thread.
 */
public final class HttpEngineDialect implements EngineDialect {
    private static final long REPORT_TIMEOUT_MILLIS = 2_000;
    private static final long ORDER_TIMEOUT_MILLIS = 3_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final String STALE_CODE = "stale";
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ARTIFACT = HttpHeaders.of("X-Artifact");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader RESUME_AFTER = HttpHeaders.of("X-Resume-After-Tokens");
    private static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Millis");

    private final SingleUseHttpClient reportClient;
    private final SingleUseHttpClient orderClient;

    public HttpEngineDialect(NioReactor reactor) {
        reportClient = new SingleUseHttpClient(reactor, REPORT_TIMEOUT_MILLIS);
        orderClient = new SingleUseHttpClient(reactor, ORDER_TIMEOUT_MILLIS);
    }

    /** Returns a factory of these dialects, which is immutable and thread-safe. */
    public static Factory factory() {
        return HttpEngineDialect::new;
    }

    @Override
    public Promise<Report> report(String address) {
        HttpRequest request =
                HttpRequest.get("http://" + address + "/v1/report").build();
        return SingleUseHttpClient.mapResult(
                reportClient.send(request),
                response -> decodeReport(address, response),
                error -> Reporter.engineNoResponse(address, SingleUseHttpClient.failedToConnect(request), error));
    }

    @Override
    public Promise<OrderReply> sendOrder(String address, Order order) {
        HttpRequest request = HttpRequest.post("http://" + address + "/v1/orders")
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(JsonCodec.write(order))
                .build();
        return SingleUseHttpClient.mapResult(
                orderClient.send(request),
                response -> decodeReply(address, response),
                error -> Reporter.engineNoResponse(address, SingleUseHttpClient.failedToConnect(request), error));
    }

    @Override
    public HttpRequest completionRequest(String address, CompletionRequest completion) {
        return HttpRequest.post("http://" + address + "/v1/chat/completions")
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(REQUEST_ID, completion.requestId())
                .withHeader(ARTIFACT, completion.artifact().toString())
                .withHeader(PRIORITY, Integer.toString(completion.priority()))
                .withHeader(RESUME_AFTER, Integer.toString(completion.resumeAfterTokens()))
                .withHeader(DEADLINE, Long.toString(completion.deadlineMillis()))
                .withBody(completion.body())
                .build();
    }

    private static Report decodeReport(String address, SingleUseHttpClient.Response response) {
        if (response.status() != STATUS_OK) {
            throw Reporter.engineNoResponse(address, false, null);
        }
        return JsonCodec.read(response.body(), Report.class, "the engine at " + address);
    }

    private static OrderReply decodeReply(String address, SingleUseHttpClient.Response response) {
        return switch (response.status()) {
            case STATUS_ACCEPTED -> new OrderReply.Accepted();
            case STATUS_CONFLICT -> decodeConflict(address, response);
            case STATUS_UNPROCESSABLE ->
                new OrderReply.Rejected(decodeRejection(address, response).reason());
            default -> throw unexpectedStatus(address);
        };
    }

    private static OrderReply decodeConflict(String address, SingleUseHttpClient.Response response) {
        Rejection rejection = decodeRejection(address, response);
        if (!STALE_CODE.equals(rejection.code())) {
            return new OrderReply.Rejected(rejection.reason());
        }
        return new OrderReply.Stale(rejection.highestFencingNumber());
    }

    private static Rejection decodeRejection(String address, SingleUseHttpClient.Response response) {
        return JsonCodec.read(response.body(), Rejection.class, "the engine at " + address);
    }

    private static PoplarWharfException unexpectedStatus(String address) {
        return Reporter.engineNoResponse(address, false, null);
    }

    private record Rejection(String code, String reason, long highestFencingNumber) {}
}
