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
import org.poplarwharf.internal.config.ConfigItem.LocatedValue;
import org.poplarwharf.internal.config.ConfigItem.SourceLocation;

/**
 * Parses configuration files in the order of their names and merges the keys that they set for the same item.
 *
 * <p>Invariant: several files may set keys of the same item. A key with a different value is an error, unless the item
 * in the later file has {@code override: true}. Used by one thread for one merge.
 */
final class ConfigParser {
    private static final ObjectMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final List<ConfigError> errors;
    private final Map<ConfigSection, Map<String, ConfigItem>> items = new TreeMap<>();

    ConfigParser(List<ConfigError> errors) {
        this.errors = errors;
        for (ConfigSection section : ConfigSection.values()) {
            items.put(section, new LinkedHashMap<>());
        }
    }

    /** Parses files, given as contents by file name. */
    void parse(TreeMap<String, String> contents) {
        contents.forEach(this::parseFile);
    }

    List<ConfigItem> items(ConfigSection section) {
        return List.copyOf(items.get(section).values());
    }

    private void parseFile(String file, String content) {
        SourceLocation location = new SourceLocation(file, "");
        JsonNode root;
        try {
            root = YAML.readTree(content);
        } catch (JsonProcessingException e) {
            errors.add(location.error("is not YAML: " + oneLine(e)));
            return;
        }
        if (root == null || root.isMissingNode() || root.isNull()) {
            return;
        }
        if (!root.isObject()) {
            errors.add(location.error("must contain sections such as 'models:'"));
            return;
        }
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            parseSection(location.child(entry.getKey()), entry.getKey(), entry.getValue());
        }
    }

    private static String oneLine(JsonProcessingException e) {
        String lineNumber =
                e.getLocation() == null ? "" : " (line " + e.getLocation().getLineNr() + ")";
        return e.getOriginalMessage().lines().findFirst().orElse("").strip() + lineNumber;
    }

    private void parseSection(SourceLocation location, String key, JsonNode node) {
        ConfigSection section = ConfigSection.of(key).orElse(null);
        if (section == null) {
            errors.add(location.error("unknown section; known are " + sectionNames()));
            return;
        }
        if (!node.isArray()) {
            errors.add(location.error("must be a list"));
            return;
        }
        Set<String> idsInSection = new HashSet<>();
        for (int i = 0; i < node.size(); i++) {
            parseItem(section, location.child(i), node.get(i), idsInSection);
        }
    }

    private static String sectionNames() {
        List<String> names = new ArrayList<>();
        for (ConfigSection section : ConfigSection.values()) {
            names.add(section.key());
        }
        return String.join(", ", names);
    }

    private void parseItem(ConfigSection section, SourceLocation location, JsonNode node, Set<String> idsInSection) {
        if (!node.isObject()) {
            errors.add(location.error("must have keys such as 'name:'"));
            return;
        }
        String id = itemId(section, location, node);
        if (id.isEmpty()) {
            return;
        }
        if (!idsInSection.add(id)) {
            errors.add(location.error("'" + id + "' is listed twice in this file"));
            return;
        }
        ConfigItem item = items.get(section).computeIfAbsent(id, name -> new ConfigItem(section, id, location));
        JsonNode override = node.path(ConfigSection.OVERRIDE);
        if (!override.isMissingNode() && !override.isBoolean()) {
            errors.add(location.child(ConfigSection.OVERRIDE).error("must be true or false"));
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            mergeKey(
                    item,
                    new LocatedValue(location.child(entry.getKey()), entry.getValue()),
                    entry.getKey(),
                    override.asBoolean());
        }
    }

    private String itemId(ConfigSection section, SourceLocation location, JsonNode node) {
        String name = nameOf(location, node, ConfigSection.NAME);
        if (section != ConfigSection.ADAPTERS || name.isEmpty()) {
            return name;
        }
        String model = nameOf(location, node, ConfigSection.MODEL);
        return model.isEmpty() ? "" : model + ":" + name;
    }

    private String nameOf(SourceLocation location, JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (value.isValueNode() && ConfigNames.isValid(value.asText())) {
            return value.asText();
        }
        String reason =
                value.isMissingNode() ? "must be given" : "'" + value.asText() + "' " + ConfigNames.INVALID_NAME_REASON;
        errors.add(location.child(key).error(reason));
        return "";
    }

    private void mergeKey(ConfigItem item, LocatedValue value, String key, boolean override) {
        if (key.equals(ConfigSection.OVERRIDE)) {
            return;
        }
        if (!item.section().itemKeys().contains(key)) {
            String known = String.join(", ", item.section().itemKeys());
            errors.add(value.location().error("unknown key; known are " + known));
            return;
        }
        LocatedValue earlier = item.value(key).orElse(null);
        if (earlier != null && !earlier.node().equals(value.node()) && !override) {
            errors.add(value.location()
                    .error("clashes with " + earlier.location().file() + ", "
                            + earlier.location().key() + " of '" + item.id()
                            + "'; make them equal, or add 'override: true' here"));
            return;
        }
        item.put(key, value);
    }
}
