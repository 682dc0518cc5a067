package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.holder.EngineClient;
import org.poplarwharf.internal.http.HttpCallResult;
import org.poplarwharf.internal.http.PooledHttpClient;

/**
 * Sends orders to engines and fetches their reports over HTTP.
 *
 * <p>Confined to the event loop of its HTTP client.
 */
public final class HttpEngineClient implements EngineClient {
    /**
     * An engine responds to an order immediately. An order without a response by this time may still be executed much
     * later, so its result is unknown.
     */
    private static final long ORDER_TIMEOUT_MILLIS = 300;

    private static final long REPORT_TIMEOUT_MILLIS = 400;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];
    private static final String CALL_ID_PREFIX = "call-";

    private final PooledHttpClient httpClient;
    private long callCount;

    public HttpEngineClient(PooledHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    @Override
    public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback) {
        ObjectNode body = JsonFields.MAPPER.createObjectNode();
        body.put("opKind", order.kind().name().toLowerCase(Locale.ROOT));
        body.put("model", order.model());
        order.adapter().ifPresent(adapter -> body.put("adapter", adapter));
        body.put("precondition", order.expectedOrdersAccepted());
        body.put("holder", holder);
        body.put("fence", fencingNumber);
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                order.target().address(),
                HttpMethod.POST,
                "/order",
                Map.of(
                        "Content-Type",
                        "application/json",
                        PlatformHeaderCodec.EXPECTED_TARGET,
                        order.target().id()),
                encode(body),
                ORDER_TIMEOUT_MILLIS,
                newCallId());
        httpClient.send(
                call,
                result -> callback.accept(
                        switch (result) {
                            case HttpCallResult.Response response ->
                                switch (response.status()) {
                                    case OK -> OrderResult.HOLDS;
                                    case ACCEPTED -> OrderResult.ACCEPTED;
                                    case CONFLICT -> OrderResult.CONFLICT;
                                    default -> OrderResult.REFUSED;
                                };
                            case HttpCallResult.NotSent notSent -> OrderResult.REFUSED;
                            case HttpCallResult.NoResponse noResponse -> OrderResult.UNKNOWN;
                        }));
    }

    @Override
    public void fetchReport(Target target, Consumer<Optional<EngineReport>> callback) {
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                target.address(),
                HttpMethod.GET,
                "/report",
                Map.of(PlatformHeaderCodec.EXPECTED_TARGET, target.id()),
                NO_BODY,
                REPORT_TIMEOUT_MILLIS,
                newCallId());
        httpClient.send(
                call,
                result -> callback.accept(
                        result instanceof HttpCallResult.Response response && response.status() == OK
                                ? decodeReport(response.body())
                                : Optional.empty()));
    }

    /** Returns an id that no other call on a connection of this client has. */
    private Optional<PooledHttpClient.CallId> newCallId() {
        callCount++;
        return Optional.of(new PooledHttpClient.CallId(
                PlatformHeaderCodec.REQUEST_ID, CALL_ID_PREFIX + Long.toHexString(callCount)));
    }

    private static Optional<EngineReport> decodeReport(byte[] body) {
        try {
            JsonNode node = JsonFields.parse(body, "a target's report");
            JsonNode cachedCopies = node.path("atHand");
            OptionalLong ordersAccepted = JsonFields.getInteger(node, "seq");
            boolean isComplete = ordersAccepted.isPresent()
                    && node.path("busy").isBoolean()
                    && node.path("models").isArray();
            if (!isComplete) {
                return Optional.empty();
            }
            return Optional.of(new EngineReport(
                    JsonFields.getInteger(node, "born").orElse(0),
                    ordersAccepted.getAsLong(),
                    JsonFields.getBoolean(node, "busy"),
                    TargetEntryDecoder.decodeModels(node),
                    JsonFields.getStrings(cachedCopies, "inMemory"),
                    JsonFields.getStrings(cachedCopies, "onDisk")));
        } catch (PoplarWharfException e) {
            return Optional.empty();
        }
    }

    private static byte[] encode(ObjectNode body) {
        try {
            return JsonFields.MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("an order", e);
        }
    }
}
