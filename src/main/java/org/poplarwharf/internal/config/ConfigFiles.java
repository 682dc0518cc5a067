package org.poplarwharf.internal.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.poplarwharf.internal.config.ConfigItem.Place;
import org.poplarwharf.internal.config.ConfigItem.Value;

/**
 * Reads files in the order of their names and joins what they say about the same item.
 *
 * <p>Invariant: two files may both give keys of one item; the same key with another value is a fault unless the later
 * file's item says {@code override: true}. Used by one thread for one merge.
 */
final class ConfigFiles {
    private static final ObjectMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final List<ConfigFault> faults;
    private final Map<ConfigSection, Map<String, ConfigItem>> items = new TreeMap<>();

    ConfigFiles(List<ConfigFault> faults) {
        this.faults = faults;
        for (ConfigSection section : ConfigSection.values()) {
            items.put(section, new LinkedHashMap<>());
        }
    }

    /** Reads files, given by name. */
    void read(TreeMap<String, String> contents) {
        contents.forEach(this::readFile);
    }

    List<ConfigItem> items(ConfigSection section) {
        return List.copyOf(items.get(section).values());
    }

    private void readFile(String file, String content) {
        Place place = new Place(file, "");
        JsonNode root;
        try {
            root = YAML.readTree(content);
        } catch (JsonProcessingException e) {
            faults.add(place.fault("is not YAML: " + oneLine(e)));
            return;
        }
        if (root == null || root.isMissingNode() || root.isNull()) {
            return;
        }
        if (!root.isObject()) {
            faults.add(place.fault("must hold sections such as 'models:'"));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            readSection(place.at(entry.getKey()), entry.getKey(), entry.getValue());
        }
    }

    private static String oneLine(JsonProcessingException e) {
        String where =
                e.getLocation() == null ? "" : " (line " + e.getLocation().getLineNr() + ")";
        return e.getOriginalMessage().lines().findFirst().orElse("").strip() + where;
    }

    private void readSection(Place place, String key, JsonNode node) {
        ConfigSection section = ConfigSection.of(key).orElse(null);
        if (section == null) {
            faults.add(place.fault("unknown section; known are " + sectionNames()));
            return;
        }
        if (!node.isArray()) {
            faults.add(place.fault("must be a list"));
            return;
        }
        Set<String> listedHere = new HashSet<>();
        for (int i = 0; i < node.size(); i++) {
            readItem(section, place.at(i), node.get(i), listedHere);
        }
    }

    private static String sectionNames() {
        List<String> names = new ArrayList<>();
        for (ConfigSection section : ConfigSection.values()) {
            names.add(section.key());
        }
        return String.join(", ", names);
    }

    private void readItem(ConfigSection section, Place place, JsonNode node, Set<String> listedHere) {
        if (!node.isObject()) {
            faults.add(place.fault("must have keys such as 'name:'"));
            return;
        }
        String id = idOf(section, place, node);
        if (id.isEmpty()) {
            return;
        }
        if (!listedHere.add(id)) {
            faults.add(place.fault("'" + id + "' is listed twice in this file"));
            return;
        }
        ConfigItem item = items.get(section).computeIfAbsent(id, name -> new ConfigItem(section, id, place));
        JsonNode override = node.path(ConfigSection.OVERRIDE);
        if (!override.isMissingNode() && !override.isBoolean()) {
            faults.add(place.at(ConfigSection.OVERRIDE).fault("must be true or false"));
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            join(item, new Value(place.at(entry.getKey()), entry.getValue()), entry.getKey(), override.asBoolean());
        }
    }

    private String idOf(ConfigSection section, Place place, JsonNode node) {
        String name = nameAt(place, node, ConfigSection.NAME);
        if (section != ConfigSection.ADAPTERS || name.isEmpty()) {
            return name;
        }
        String model = nameAt(place, node, ConfigSection.MODEL);
        return model.isEmpty() ? "" : model + ":" + name;
    }

    private String nameAt(Place place, JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (value.isValueNode() && ConfigNames.valid(value.asText())) {
            return value.asText();
        }
        String reason = value.isMissingNode() ? "must be given" : "'" + value.asText() + "' " + ConfigNames.RULE;
        faults.add(place.at(key).fault(reason));
        return "";
    }

    private void join(ConfigItem item, Value value, String key, boolean override) {
        if (key.equals(ConfigSection.OVERRIDE)) {
            return;
        }
        if (!item.section().itemKeys().contains(key)) {
            String known = String.join(", ", item.section().itemKeys());
            faults.add(value.place().fault("unknown key; known are " + known));
            return;
        }
        Value earlier = item.value(key).orElse(null);
        if (earlier != null && !earlier.node().equals(value.node()) && !override) {
            faults.add(value.place()
                    .fault("clashes with " + earlier.place().file() + ", "
                            + earlier.place().key() + " of '" + item.id()
                            + "'; make them equal, or add 'override: true' here"));
            return;
        }
        item.put(key, value);
    }
}
