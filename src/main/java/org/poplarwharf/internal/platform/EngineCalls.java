package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
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
 * Orders and reports of engines.
 *
 * <p>Confined to the event loop of its caller.
 */
public final class EngineCalls implements EngineClient {
    /** Orders are answered at once; one that isn't by now may be carried out much later. */
    private static final long ORDER_TIMEOUT_MILLIS = 300;

    private static final long REPORT_TIMEOUT_MILLIS = 400;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];

    private final PooledHttpClient caller;

    public EngineCalls(PooledHttpClient caller) {
        this.caller = caller;
    }

    @Override
    public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> answer) {
        ObjectNode body = JsonFields.JSON.createObjectNode();
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
                        WireHeaders.EXPECTED_TARGET,
                        order.target().id()),
                bytes(body),
                ORDER_TIMEOUT_MILLIS);
        caller.send(
                call,
                outcome -> answer.accept(
                        switch (outcome) {
                            case HttpCallResult.Response answered ->
                                switch (answered.status()) {
                                    case OK -> OrderResult.HOLDS;
                                    case ACCEPTED -> OrderResult.ACCEPTED;
                                    case CONFLICT -> OrderResult.CONFLICT;
                                    default -> OrderResult.REFUSED;
                                };
                            case HttpCallResult.NotSent notSent -> OrderResult.REFUSED;
                            case HttpCallResult.NoResponse unanswered -> OrderResult.UNKNOWN;
                        }));
    }

    @Override
    public void fetchReport(Target target, Consumer<Optional<EngineReport>> answer) {
        PooledHttpClient.Call call = new PooledHttpClient.Call(
                target.address(),
                HttpMethod.GET,
                "/report",
                Map.of(WireHeaders.EXPECTED_TARGET, target.id()),
                NO_BODY,
                REPORT_TIMEOUT_MILLIS);
        caller.send(
                call,
                outcome -> answer.accept(
                        outcome instanceof HttpCallResult.Response answered && answered.status() == OK
                                ? decode(answered.body())
                                : Optional.empty()));
    }

    private static Optional<EngineReport> decode(byte[] body) {
        try {
            JsonNode node = JsonFields.parse(body, "a target's report");
            JsonNode copies = node.path("atHand");
            return Optional.of(new EngineReport(
                    JsonFields.number(node, "born").orElse(0),
                    JsonFields.number(node, "seq").orElse(0),
                    JsonFields.flag(node, "busy"),
                    TargetEntries.models(node),
                    JsonFields.texts(copies, "inMemory"),
                    JsonFields.texts(copies, "onDisk")));
        } catch (PoplarWharfException e) {
            return Optional.empty();
        }
    }

    private static byte[] bytes(ObjectNode body) {
        try {
            return JsonFields.JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw Reporter.malformedMessage("an order", e);
        }
    }
}
