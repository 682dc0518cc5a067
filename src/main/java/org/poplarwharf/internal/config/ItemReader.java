package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.poplarwharf.internal.config.ConfigItem.LocatedValue;
import org.poplarwharf.internal.config.ConfigItem.SourceLocation;

/**
 * Reads the values of an item as typed values. An invalid value adds an error and is replaced by a default, so that all
 * errors are reported together.
 *
 * <p>Not thread-safe.
 */
final class ItemReader {
    private static final Pattern SIZE = Pattern.compile("(\\d{1,12})(B|KiB|MiB|GiB|TiB)");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final long MAX_SIZE_BYTES = 1L << 50;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final long MILLIS_PER_HOUR = 3_600_000;

    private final ConfigItem item;
    private final List<ConfigError> errors;

    ItemReader(ConfigItem item, List<ConfigError> errors) {
        this.item = item;
        this.errors = errors;
    }

    String name() {
        return requiredString(ConfigSection.NAME);
    }

    /** Returns the value of a required key, or adds an error and returns an empty string. */
    String requiredString(String key) {
        Optional<LocatedValue> value = required(key);
        if (value.isEmpty()) {
            return "";
        }
        JsonNode node = value.get().node();
        if (!node.isValueNode() || node.isNull() || node.asText().isBlank()) {
            addError(value.get(), "must be a string");
            return "";
        }
        return node.asText();
    }

    Optional<String> optionalString(String key) {
        return item.value(key).isEmpty() ? Optional.empty() : Optional.of(requiredString(key));
    }

    /** Returns the value of a required key, which must be one of the given words. Returns the first word otherwise. */
    String oneOf(String key, List<String> words) {
        String text = requiredString(key);
        if (words.contains(text)) {
            return text;
        }
        if (!text.isEmpty()) {
            addError(item.value(key).orElseThrow(), "'" + text + "' is none of " + String.join(", ", words));
        }
        return words.get(0);
    }

    String address(String key) {
        String text = requiredString(key);
        Matcher matcher = ADDRESS.matcher(text);
        boolean valid = matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
        if (!valid && !text.isEmpty()) {
            addError(item.value(key).orElseThrow(), "'" + text + "' is not an address; write host:port");
        }
        return text;
    }

    /** Returns an integer in the given range, or the default value if it is missing or invalid. */
    int integer(String key, int min, int max, int defaultValue) {
        Optional<LocatedValue> value = item.value(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        JsonNode node = value.get().node();
        if (!node.isIntegralNumber() || !node.canConvertToInt() || node.asInt() < min || node.asInt() > max) {
            addError(value.get(), "'" + display(node) + "' is not a whole number from " + min + " to " + max);
            return defaultValue;
        }
        return node.asInt();
    }

    boolean flag(String key, boolean defaultValue) {
        Optional<LocatedValue> value = item.value(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().node().isBoolean()) {
            addError(value.get(), "'" + display(value.get().node()) + "' is neither true nor false");
            return defaultValue;
        }
        return value.get().node().asBoolean();
    }

    /** Returns the size in bytes of a required key, or 0 if it is missing or invalid. */
    long sizeBytes(String key) {
        String text = requiredString(key);
        if (text.isEmpty()) {
            return 0;
        }
        Matcher matcher = SIZE.matcher(text);
        if (!matcher.matches()) {
            addError(item.value(key).orElseThrow(), "'" + text + "' is not a size; write 512MiB or 14GiB");
            return 0;
        }
        double bytes = Long.parseLong(matcher.group(1)) * (double) unitBytes(matcher.group(2));
        if (bytes > MAX_SIZE_BYTES) {
            addError(item.value(key).orElseThrow(), "'" + text + "' is too large");
            return 0;
        }
        return (long) bytes;
    }

    private static long unitBytes(String unit) {
        return switch (unit) {
            case "KiB" -> 1L << 10;
            case "MiB" -> 1L << 20;
            case "GiB" -> 1L << 30;
            case "TiB" -> 1L << 40;
            default -> 1;
        };
    }

    /** Returns the duration in milliseconds of a required key, or 0 if it is missing or invalid. */
    long durationMillis(String key) {
        String text = requiredString(key);
        if (text.isEmpty()) {
            return 0;
        }
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            addError(item.value(key).orElseThrow(), "'" + text + "' is not a duration; write 500ms, 30s, 2m or 1h");
            return 0;
        }
        return Long.parseLong(matcher.group(1)) * unitMillis(matcher.group(2));
    }

    OptionalLong optionalDurationMillis(String key) {
        return item.value(key).isEmpty() ? OptionalLong.empty() : OptionalLong.of(durationMillis(key));
    }

    private static long unitMillis(String unit) {
        return switch (unit) {
            case "h" -> MILLIS_PER_HOUR;
            case "m" -> MILLIS_PER_MINUTE;
            case "s" -> MILLIS_PER_SECOND;
            default -> 1;
        };
    }

    /** Returns a list of strings; empty if the key is missing. */
    List<String> stringList(String key) {
        List<String> texts = new ArrayList<>();
        for (LocatedValue value : elements(key)) {
            if (!value.node().isValueNode() || value.node().asText().isBlank()) {
                addError(value, "must be a string");
                continue;
            }
            if (texts.contains(value.node().asText())) {
                addError(value, "'" + value.node().asText() + "' is listed twice");
                continue;
            }
            texts.add(value.node().asText());
        }
        return List.copyOf(texts);
    }

    /** Returns a list of calls; empty if the key is missing. */
    List<FleetConfig.CallSpec> callList(String key) {
        List<FleetConfig.CallSpec> calls = new ArrayList<>();
        for (LocatedValue value : elements(key)) {
            new CallSpecReader(value, errors).read().ifPresent(calls::add);
        }
        return List.copyOf(calls);
    }

    private List<LocatedValue> elements(String key) {
        Optional<LocatedValue> value = item.value(key);
        if (value.isEmpty()) {
            return List.of();
        }
        if (!value.get().node().isArray()) {
            addError(value.get(), "must be a list");
            return List.of();
        }
        List<LocatedValue> values = new ArrayList<>();
        SourceLocation location = value.get().location();
        for (int i = 0; i < value.get().node().size(); i++) {
            values.add(new LocatedValue(location.child(i), value.get().node().get(i)));
        }
        return values;
    }

    private Optional<LocatedValue> required(String key) {
        Optional<LocatedValue> value = item.value(key);
        if (value.isEmpty()) {
            errors.add(item.location().child(key).error("must be given for '" + item.id() + "'"));
        }
        return value;
    }

    private void addError(LocatedValue value, String reason) {
        errors.add(value.location().error(reason));
    }

    private static String display(JsonNode node) {
        return node.isValueNode() ? node.asText() : node.toString();
    }
}
