package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.fleet.TargetEntry;
import org.poplarwharf.internal.http.FieldText;

/**
 * Decodes the JSON entries with which targets register themselves. Stateless and thread-safe.
 */
public final class TargetEntryDecoder {
    private static final String STATE_LEAVING = "draining";
    private static final String STATE_READY = "ready";
    private static final String SERVICE = "service";
    private static final String ADDRESS = "addr";
    private static final String ZONE = "zone";
    private static final String SOFTWARE_VERSION = "version";
    private static final String SLOTS = "slots";
    private static final String STATE = "state";
    private static final String HEARTBEAT_COUNT = "seq";
    private static final String STARTED_AT = "born";
    private static final String WARM_UP = "coldLeftMs";

    private static final List<String> REQUIRED_STRINGS = List.of(SERVICE, ADDRESS, ZONE, SOFTWARE_VERSION, STATE);

    /** Deployments differ in whether their targets state these. */
    private static final List<String> OPTIONAL_FIELDS = List.of(STARTED_AT, WARM_UP);

    private TargetEntryDecoder() {}

    /** Decodes the entry with a key. An entry with a field that is missing or of another type names no target to use. */
    public static TargetEntry decode(String id, byte[] entry) {
        JsonNode node;
        try {
            node = JsonFields.parse(entry, "target entry");
        } catch (PoplarWharfException e) {
            return new TargetEntry.Unusable("not a JSON object");
        }
        return findFault(id, node)
                .<TargetEntry>map(TargetEntry.Unusable::new)
                .orElseGet(() -> new TargetEntry.Described(decodeTarget(id, node), statedFields(node)));
    }

    private static Optional<String> findFault(String id, JsonNode node) {
        if (!FieldText.isPlain(id)) {
            return Optional.of("a header cannot carry its id");
        }
        for (String field : REQUIRED_STRINGS) {
            if (JsonFields.getString(node, field)
                    .filter(text -> !text.isEmpty())
                    .isEmpty()) {
                return Optional.of("no " + field);
            }
        }
        String state = JsonFields.getString(node, STATE).orElseThrow();
        if (!state.equals(STATE_READY) && !state.equals(STATE_LEAVING)) {
            return Optional.of("unknown " + STATE);
        }
        if (decodeAddress(node).isEmpty()) {
            return Optional.of("no IP address and port in " + ADDRESS);
        }
        long slots = JsonFields.getInteger(node, SLOTS).orElse(0);
        if (slots < 1 || slots > Integer.MAX_VALUE) {
            return Optional.of("no " + SLOTS);
        }
        if (JsonFields.getInteger(node, HEARTBEAT_COUNT).orElse(-1) < 0) {
            return Optional.of("no " + HEARTBEAT_COUNT);
        }
        if (node.has(STARTED_AT) && JsonFields.getInteger(node, STARTED_AT).orElse(0) <= 0) {
            return Optional.of("no time in " + STARTED_AT);
        }
        return node.has(WARM_UP) && !node.path(WARM_UP).isNumber()
                ? Optional.of("no number in " + WARM_UP)
                : Optional.empty();
    }

    /** Returns the address; empty if no target can have it. Does no DNS lookup. */
    private static Optional<InetSocketAddress> decodeAddress(JsonNode node) {
        return JsonFields.getString(node, ADDRESS)
                .flatMap(HostPort::parse)
                .filter(address -> !address.getAddress().isAnyLocalAddress()
                        && !address.getAddress().isMulticastAddress());
    }

    private static Set<String> statedFields(JsonNode node) {
        return OPTIONAL_FIELDS.stream().filter(node::has).collect(Collectors.toUnmodifiableSet());
    }

    private static Target decodeTarget(String id, JsonNode node) {
        JsonNode cachedCopies = node.path("atHand");
        return new Target(
                id,
                JsonFields.getInteger(node, STARTED_AT).orElse(0),
                JsonFields.getInteger(node, HEARTBEAT_COUNT).orElseThrow(),
                JsonFields.getString(node, SERVICE).orElseThrow(),
                decodeAddress(node).orElseThrow(),
                JsonFields.getString(node, ZONE).orElseThrow(),
                (int) JsonFields.getInteger(node, SLOTS).orElseThrow(),
                node.path(STATE).textValue().equals(STATE_LEAVING),
                JsonFields.getLong(node, "remainingMs"),
                JsonFields.getString(node, SOFTWARE_VERSION).orElseThrow(),
                decodeModels(node),
                JsonFields.getStrings(cachedCopies, "inMemory"),
                JsonFields.getStrings(cachedCopies, "onDisk"));
    }

    /**
     * Decodes the models of an entry or a report. Adapters in transit to the target count as loaded, because they
     * already occupy adapter slots.
     */
    static List<LoadedModel> decodeModels(JsonNode node) {
        List<LoadedModel> models = new ArrayList<>();
        for (JsonNode model : JsonFields.getObjects(node, "models")) {
            JsonFields.getString(model, "name").ifPresent(name -> {
                Set<String> adapters = loadedAdapters(model);
                adapters.addAll(adaptersInTransit(node, name));
                models.add(new LoadedModel(name, adapters));
            });
        }
        return models;
    }

    /** Returns the names of the adapters of a model in transit, which are listed as {@code MODEL/NAME@VERSION}. */
    private static Set<String> adaptersInTransit(JsonNode node, String model) {
        Set<String> names = new LinkedHashSet<>();
        for (String listing : JsonFields.getStrings(node, "coming")) {
            if (listing.startsWith(model + "/")) {
                names.add(stripVersion(listing.substring(model.length() + 1)));
            }
        }
        return names;
    }

    private static String stripVersion(String listing) {
        int versionSeparator = listing.indexOf('@');
        return versionSeparator < 0 ? listing : listing.substring(0, versionSeparator);
    }

    /**
     * Returns the names of the loaded adapters, which are listed as a string or as an object, with or without a
     * version.
     */
    private static Set<String> loadedAdapters(JsonNode model) {
        Set<String> names = new LinkedHashSet<>();
        for (JsonNode adapter : model.path("adapters")) {
            names.add(stripVersion(adapter.isObject() ? adapter.path("name").asText("") : adapter.asText("")));
        }
        names.remove("");
        return names;
    }
}
