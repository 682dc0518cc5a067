package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

/**
 * Decodes the entries by which targets register themselves. Stateless and thread-safe.
 */
public final class TargetEntries {
    private static final String LEAVING = "draining";
    private static final String READY = "ready";

    private TargetEntries() {}

    /** Returns the target that an entry names; empty where the entry is of another writer and names none. */
    public static Optional<Target> decode(String id, byte[] entry) {
        JsonNode node;
        try {
            node = JsonFields.parse(entry, "target entry " + id);
        } catch (PoplarWharfException e) {
            return Optional.empty();
        }
        Optional<InetSocketAddress> address = JsonFields.text(node, "addr").flatMap(HostPort::parse);
        Optional<String> service = JsonFields.text(node, "service");
        String state = JsonFields.text(node, "state").orElse("");
        if (id.isEmpty() || address.isEmpty() || service.isEmpty() || !(state.equals(READY) || state.equals(LEAVING))) {
            return Optional.empty();
        }
        JsonNode copies = node.path("atHand");
        return Optional.of(new Target(
                id,
                JsonFields.number(node, "born").orElse(0),
                JsonFields.number(node, "seq").orElse(0),
                service.get(),
                address.get(),
                JsonFields.text(node, "zone").orElse(""),
                (int) JsonFields.number(node, "slots").orElse(1),
                state.equals(LEAVING),
                JsonFields.number(node, "remainingMs"),
                models(node),
                JsonFields.texts(copies, "inMemory"),
                JsonFields.texts(copies, "onDisk")));
    }

    /** Returns the models of an entry or a report; adapters that are on their way count, as they take places. */
    static List<LoadedModel> models(JsonNode node) {
        List<LoadedModel> models = new ArrayList<>();
        for (JsonNode model : JsonFields.objects(node, "models")) {
            JsonFields.text(model, "name").ifPresent(name -> {
                Set<String> adapters = adapters(model);
                adapters.addAll(coming(node, name));
                models.add(new LoadedModel(name, adapters));
            });
        }
        return models;
    }

    /** Reads adapters in transit, listed as {@code MODEL/NAME@VERSION}. */
    private static Set<String> coming(JsonNode node, String model) {
        Set<String> names = new LinkedHashSet<>();
        for (String listed : JsonFields.texts(node, "coming")) {
            if (listed.startsWith(model + "/")) {
                names.add(withoutVersion(listed.substring(model.length() + 1)));
            }
        }
        return names;
    }

    private static String withoutVersion(String listed) {
        int version = listed.indexOf('@');
        return version < 0 ? listed : listed.substring(0, version);
    }

    /** Adapters are listed by name, or by name and version. */
    private static Set<String> adapters(JsonNode model) {
        Set<String> names = new LinkedHashSet<>();
        for (JsonNode adapter : model.path("adapters")) {
            names.add(withoutVersion(adapter.isObject() ? adapter.path("name").asText("") : adapter.asText("")));
        }
        names.remove("");
        return names;
    }
}
