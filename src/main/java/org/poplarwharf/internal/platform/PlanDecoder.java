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
 * Decodes the operator's JSON configuration into a {@link FleetPlan}. Stateless and thread-safe.
 */
public final class PlanDecoder {
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;
    private static final int LOWEST_PRIORITY = 9;
    private static final double MILLIS_PER_SECOND = 1_000;

    private PlanDecoder() {}

    /**
     * Decodes the plan. Skips routes that are incomplete; throws {@code malformed-message} if the document is not a
     * JSON object or has no version.
     */
    public static FleetPlan decode(byte[] document) {
        JsonNode node = JsonFields.parse(document, "the operator's configuration");
        long version = JsonFields.getLong(node, "version")
                .orElseThrow(() -> Reporter.malformedMessage("the operator's configuration", null));
        List<Route> routes = new ArrayList<>();
        for (JsonNode route : JsonFields.getObjects(node, "routes")) {
            decodeRoute(route).ifPresent(routes::add);
        }
        Map<String, RoutedService> services = new LinkedHashMap<>();
        for (JsonNode service : JsonFields.getObjects(node, "services")) {
            JsonFields.getString(service, "name").ifPresent(name -> services.put(name, decodeService(name, service)));
        }
        return new FleetPlan(
                version,
                new RouteTable(routes),
                services,
                decodeLimits(node.path("limits")),
                AccountDecoder.decode(node));
    }

    private static Optional<Route> decodeRoute(JsonNode node) {
        Optional<String> host = JsonFields.getString(node, "host");
        Optional<String> prefix = JsonFields.getString(node, "pathPrefix");
        List<Route.Destination> destinations = decodeDestinations(node);
        if (host.isEmpty() || prefix.isEmpty() || destinations.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                JsonFields.getString(node, "name").orElse(prefix.get()),
                host.get(),
                prefix.get(),
                decodeKind(node),
                JsonFields.getLong(node, "timeoutMs").orElse(DEFAULT_TIMEOUT_MILLIS),
                JsonFields.getLong(node, "targetLatencyMs").orElse(DEFAULT_OBJECTIVE_MILLIS),
                JsonFields.getLong(node, "gapAimMs").orElse(0),
                (int) JsonFields.getLong(node, "priority").orElse(LOWEST_PRIORITY),
                destinations,
                (int) Math.max(1, JsonFields.getLong(node, "maxAttempts").orElse(1)),
                JsonFields.getBoolean(node, "sticky"),
                JsonFields.getBoolean(node, "public")));
    }

    private static RouteKind decodeKind(JsonNode node) {
        return switch (JsonFields.getString(node, "kind").orElse("")) {
            case "safe" -> RouteKind.REPEATABLE;
            case "streaming" ->
                JsonFields.getBoolean(node, "resumable") ? RouteKind.RESUMABLE_STREAM : RouteKind.STREAM;
            default -> RouteKind.ONCE; // A later release may add kinds. Running at most once is safe for any request.
        };
    }

    private static List<Route.Destination> decodeDestinations(JsonNode node) {
        List<Route.Destination> destinations = new ArrayList<>();
        for (JsonNode entry : JsonFields.getObjects(node, "trafficSplit")) {
            JsonFields.getString(entry, "service")
                    .ifPresent(service -> destinations.add(
                            new Route.Destination(service, Math.max(0, JsonFields.getDouble(entry, "weight", 1)))));
        }
        if (destinations.isEmpty()) {
            JsonFields.getString(node, "service")
                    .ifPresent(service -> destinations.add(new Route.Destination(service, 1)));
        }
        return destinations;
    }

    private static RoutedService decodeService(String name, JsonNode node) {
        JsonNode engine = node.path("engine");
        return new RoutedService(name, engine.isObject() ? Optional.of(decodeEngine(engine)) : Optional.empty());
    }

    private static EngineSpec decodeEngine(JsonNode node) {
        Map<String, EngineModelSpec> models = new LinkedHashMap<>();
        for (JsonNode model : JsonFields.getObjects(node, "models")) {
            JsonFields.getString(model, "name").ifPresent(name -> models.put(name, decodeModel(name, model)));
        }
        return new EngineSpec(
                (int) JsonFields.getLong(node, "slots").orElse(1),
                JsonFields.getLong(node, "kvCapacity").orElse(Long.MAX_VALUE),
                JsonFields.getDouble(node, "weightsMb", 0),
                (int) JsonFields.getLong(node, "adapterSlots").orElse(0),
                JsonFields.getDouble(node, "loadsPerS", 1),
                JsonFields.getBoolean(node, "backups"),
                models);
    }

    private static EngineModelSpec decodeModel(String name, JsonNode node) {
        long storeLoadMillis = getSecondsAsMillis(node, "loadS", MILLIS_PER_SECOND);
        return new EngineModelSpec(
                name,
                JsonFields.getDouble(node, "weightsMb", 0),
                storeLoadMillis,
                getSecondsAsMillis(node, "diskS", storeLoadMillis),
                getSecondsAsMillis(node, "warmS", storeLoadMillis),
                (int) JsonFields.getLong(node, "adapters").orElse(0),
                JsonFields.getDouble(node, "adapterMb", 0));
    }

    private static long getSecondsAsMillis(JsonNode node, String field, double defaultMillis) {
        return Math.round(JsonFields.getDouble(node, field, defaultMillis / MILLIS_PER_SECOND) * MILLIS_PER_SECOND);
    }

    private static CallerLimits decodeLimits(JsonNode node) {
        CallerLimits defaults = CallerLimits.DEFAULTS;
        return new CallerLimits(
                (int) JsonFields.getLong(node, "maxHeaderBytes").orElse(defaults.maxHeaderBytes()),
                (int) JsonFields.getLong(node, "maxBodyBytes").orElse(defaults.maxBodyBytes()),
                JsonFields.getLong(node, "headerTimeoutMs").orElse(defaults.headerTimeoutMillis()),
                JsonFields.getLong(node, "idleTimeoutMs").orElse(defaults.idleTimeoutMillis()));
    }
}
