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
 * Engines that take chat completions in the OpenAI form and orders as JSON over HTTP.
 *
 * <p>Invariant: an order is sent once, on a connection of its own. Belongs to one reactor thread.
 */
public final class HttpEngineDialect implements EngineDialect {
    private static final long REPORT_LIMIT_MILLIS = 2_000;
    private static final long ORDER_LIMIT_MILLIS = 3_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final String STALE = "stale";
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ARTIFACT = HttpHeaders.of("X-Artifact");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader RESUME_AFTER = HttpHeaders.of("X-Resume-After-Tokens");
    private static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Millis");

    private final HttpCalls reports;
    private final HttpCalls orders;

    public HttpEngineDialect(NioReactor reactor) {
        reports = new HttpCalls(reactor, REPORT_LIMIT_MILLIS);
        orders = new HttpCalls(reactor, ORDER_LIMIT_MILLIS);
    }

    /** Makes such dialects. Immutable and thread-safe. */
    public static Factory factory() {
        return HttpEngineDialect::new;
    }

    @Override
    public Promise<Report> report(String address) {
        HttpRequest request =
                HttpRequest.get("http://" + address + "/v1/report").build();
        return HttpCalls.settle(
                reports.call(request),
                answer -> report(address, answer),
                failure -> Reporter.engineNoResponse(address, HttpCalls.neverSent(request), failure));
    }

    @Override
    public Promise<OrderReply> sendOrder(String address, Order order) {
        HttpRequest request = HttpRequest.post("http://" + address + "/v1/orders")
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(Json.write(order))
                .build();
        return HttpCalls.settle(
                orders.call(request),
                answer -> reply(address, answer),
                failure -> Reporter.engineNoResponse(address, HttpCalls.neverSent(request), failure));
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

    private static Report report(String address, HttpCalls.Answer answer) {
        if (answer.status() != STATUS_OK) {
            throw Reporter.engineNoResponse(address, false, null);
        }
        return Json.read(answer.body(), Report.class, "the engine at " + address);
    }

    private static OrderReply reply(String address, HttpCalls.Answer answer) {
        return switch (answer.status()) {
            case STATUS_ACCEPTED -> new OrderReply.Accepted();
            case STATUS_CONFLICT -> stale(address, answer);
            case STATUS_UNPROCESSABLE ->
                new OrderReply.Rejected(refusal(address, answer).reason());
            default -> throw unexpected(address);
        };
    }

    private static OrderReply stale(String address, HttpCalls.Answer answer) {
        Refusal refusal = refusal(address, answer);
        if (!STALE.equals(refusal.code())) {
            return new OrderReply.Rejected(refusal.reason());
        }
        return new OrderReply.Stale(refusal.highestFencingNumber());
    }

    private static Refusal refusal(String address, HttpCalls.Answer answer) {
        return Json.read(answer.body(), Refusal.class, "the engine at " + address);
    }

    private static PoplarWharfException unexpected(String address) {
        return Reporter.engineNoResponse(address, false, null);
    }

    private record Refusal(String code, String reason, long highestFencingNumber) {}
}
