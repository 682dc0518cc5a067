package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.fleet.CallerLimits;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.RouteTable;
import org.poplarwharf.internal.fleet.RoutedService;

/**
 * Decodes the operator's configuration document. Stateless and thread-safe.
 */
public final class PlanDocument {
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;
    private static final int LOWEST_PRIORITY = 9;
    private static final double MILLIS_PER_SECOND = 1_000;

    private PlanDocument() {}

    /** Returns the plan; raises {@code malformed-message} where the document has no version. */
    public static FleetPlan decode(byte[] document) {
        JsonNode node = JsonFields.parse(document, "the operator's configuration");
        long version = JsonFields.number(node, "version")
                .orElseThrow(() -> Reporter.malformedMessage("the operator's configuration", null));
        List<Route> routes = new ArrayList<>();
        for (JsonNode route : JsonFields.objects(node, "routes")) {
            route(route).ifPresent(routes::add);
        }
        Map<String, RoutedService> services = new LinkedHashMap<>();
        for (JsonNode service : JsonFields.objects(node, "services")) {
            JsonFields.text(service, "name").ifPresent(name -> services.put(name, service(name, service)));
        }
        return new FleetPlan(version, new RouteTable(routes), services, limits(node.path("limits")));
    }

    private static Optional<Route> route(JsonNode node) {
        Optional<String> host = JsonFields.text(node, "host");
        Optional<String> prefix = JsonFields.text(node, "pathPrefix");
        List<Route.Destination> destinations = destinations(node);
        if (host.isEmpty() || prefix.isEmpty() || destinations.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                JsonFields.text(node, "name").orElse(prefix.get()),
                host.get(),
                prefix.get(),
                kind(node),
                JsonFields.number(node, "timeoutMs").orElse(DEFAULT_TIMEOUT_MILLIS),
                JsonFields.number(node, "targetLatencyMs").orElse(DEFAULT_OBJECTIVE_MILLIS),
                JsonFields.number(node, "gapAimMs").orElse(0),
                (int) JsonFields.number(node, "priority").orElse(LOWEST_PRIORITY),
                destinations,
                (int) Math.max(1, JsonFields.number(node, "maxAttempts").orElse(1)),
                JsonFields.flag(node, "sticky")));
    }

    private static RouteKind kind(JsonNode node) {
        return switch (JsonFields.text(node, "kind").orElse("")) {
            case "safe" -> RouteKind.REPEATABLE;
            case "streaming" -> JsonFields.flag(node, "resumable") ? RouteKind.RESUMABLE_STREAM : RouteKind.STREAM;
            default -> RouteKind.ONCE; // A kind of a later release: once is right for any request.
        };
    }

    private static List<Route.Destination> destinations(JsonNode node) {
        List<Route.Destination> destinations = new ArrayList<>();
        for (JsonNode share : JsonFields.objects(node, "trafficSplit")) {
            JsonFields.text(share, "service")
                    .ifPresent(service -> destinations.add(
                            new Route.Destination(service, Math.max(0, JsonFields.decimal(share, "weight", 1)))));
        }
        if (destinations.isEmpty()) {
            JsonFields.text(node, "service").ifPresent(service -> destinations.add(new Route.Destination(service, 1)));
        }
        return destinations;
    }

    private static RoutedService service(String name, JsonNode node) {
        JsonNode engine = node.path("engine");
        return new RoutedService(name, engine.isObject() ? Optional.of(engine(engine)) : Optional.empty());
    }

    private static EngineSpec engine(JsonNode node) {
        Map<String, EngineModelSpec> models = new LinkedHashMap<>();
        for (JsonNode model : JsonFields.objects(node, "models")) {
            JsonFields.text(model, "name").ifPresent(name -> models.put(name, model(name, model)));
        }
        return new EngineSpec(
                (int) JsonFields.number(node, "slots").orElse(1),
                JsonFields.number(node, "kvCapacity").orElse(Long.MAX_VALUE),
                JsonFields.decimal(node, "weightsMb", 0),
                (int) JsonFields.number(node, "adapterSlots").orElse(0),
                JsonFields.decimal(node, "loadsPerS", 1),
                JsonFields.flag(node, "backups"),
                models);
    }

    private static EngineModelSpec model(String name, JsonNode node) {
        long storeMillis = seconds(node, "loadS", MILLIS_PER_SECOND);
        return new EngineModelSpec(
                name,
                JsonFields.decimal(node, "weightsMb", 0),
                storeMillis,
                seconds(node, "diskS", storeMillis),
                seconds(node, "warmS", storeMillis),
                (int) JsonFields.number(node, "adapters").orElse(0),
                JsonFields.decimal(node, "adapterMb", 0));
    }

    private static long seconds(JsonNode node, String field, double otherwiseMillis) {
        return Math.round(JsonFields.decimal(node, field, otherwiseMillis / MILLIS_PER_SECOND) * MILLIS_PER_SECOND);
    }

    private static CallerLimits limits(JsonNode node) {
        CallerLimits otherwise = CallerLimits.DEFAULTS;
        return new CallerLimits(
                (int) JsonFields.number(node, "maxHeaderBytes").orElse(otherwise.maxHeaderBytes()),
                (int) JsonFields.number(node, "maxBodyBytes").orElse(otherwise.maxBodyBytes()),
                JsonFields.number(node, "headerTimeoutMs").orElse(otherwise.headerTimeoutMillis()),
                JsonFields.number(node, "idleTimeoutMs").orElse(otherwise.idleTimeoutMillis()));
    }
}
