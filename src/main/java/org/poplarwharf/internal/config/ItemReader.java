package org.poplarwharf.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.poplarwharf.internal.config.ConfigItem.Place;
import org.poplarwharf.internal.config.ConfigItem.Value;

/**
 * Reads the values of one item by type. A bad value is kept as a fault and read as a harmless one, so that all faults
 * are found at once.
 *
 * <p>Used by one thread.
 */
final class ItemReader {
    private static final Pattern SIZE = Pattern.compile("(\\d{1,12})(B|KiB|MiB|GiB|TiB)");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:(\\d{1,5})");
    private static final int HIGHEST_PORT = 65_535;
    private static final long MAX_SIZE_BYTES = 1L << 50;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final long MILLIS_PER_HOUR = 3_600_000;

    private final ConfigItem item;
    private final List<ConfigFault> faults;

    ItemReader(ConfigItem item, List<ConfigFault> faults) {
        this.item = item;
        this.faults = faults;
    }

    String name() {
        return text(ConfigSection.NAME);
    }

    /** Returns a text that must be given. */
    String text(String key) {
        Optional<Value> value = required(key);
        if (value.isEmpty()) {
            return "";
        }
        JsonNode node = value.get().node();
        if (!node.isValueNode() || node.isNull() || node.asText().isBlank()) {
            fault(value.get(), "must be a text");
            return "";
        }
        return node.asText();
    }

    Optional<String> optionalText(String key) {
        return item.value(key).isEmpty() ? Optional.empty() : Optional.of(text(key));
    }

    /** Returns one of some words. */
    String word(String key, List<String> words) {
        String text = text(key);
        if (words.contains(text)) {
            return text;
        }
        if (!text.isEmpty()) {
            fault(item.value(key).orElseThrow(), "'" + text + "' is none of " + String.join(", ", words));
        }
        return words.get(0);
    }

    String address(String key) {
        String text = text(key);
        Matcher matcher = ADDRESS.matcher(text);
        boolean valid = matcher.matches() && Integer.parseInt(matcher.group(1)) <= HIGHEST_PORT;
        if (!valid && !text.isEmpty()) {
            fault(item.value(key).orElseThrow(), "'" + text + "' is not an address; write host:port");
        }
        return text;
    }

    /** Returns a whole number within bounds. */
    int integer(String key, int least, int most, int defaultValue) {
        Optional<Value> value = item.value(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        JsonNode node = value.get().node();
        if (!node.isIntegralNumber() || !node.canConvertToInt() || node.asInt() < least || node.asInt() > most) {
            fault(value.get(), "'" + shown(node) + "' is not a whole number from " + least + " to " + most);
            return defaultValue;
        }
        return node.asInt();
    }

    boolean flag(String key, boolean defaultValue) {
        Optional<Value> value = item.value(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().node().isBoolean()) {
            fault(value.get(), "'" + shown(value.get().node()) + "' is neither true nor false");
            return defaultValue;
        }
        return value.get().node().asBoolean();
    }

    /** Returns a size in bytes that must be given. */
    long sizeBytes(String key) {
        String text = text(key);
        if (text.isEmpty()) {
            return 0;
        }
        Matcher matcher = SIZE.matcher(text);
        if (!matcher.matches()) {
            fault(item.value(key).orElseThrow(), "'" + text + "' is not a size; write 512MiB or 14GiB");
            return 0;
        }
        double bytes = Long.parseLong(matcher.group(1)) * (double) unitBytes(matcher.group(2));
        if (bytes > MAX_SIZE_BYTES) {
            fault(item.value(key).orElseThrow(), "'" + text + "' is too large");
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

    /** Returns a duration in milliseconds that must be given. */
    long durationMillis(String key) {
        String text = text(key);
        if (text.isEmpty()) {
            return 0;
        }
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            fault(item.value(key).orElseThrow(), "'" + text + "' is not a duration; write 500ms, 30s, 2m or 1h");
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

    /** Returns a list of texts; empty when the key is not given. */
    List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (Value value : list(key)) {
            if (!value.node().isValueNode() || value.node().asText().isBlank()) {
                fault(value, "must be a text");
                continue;
            }
            if (texts.contains(value.node().asText())) {
                fault(value, "'" + value.node().asText() + "' is listed twice");
                continue;
            }
            texts.add(value.node().asText());
        }
        return List.copyOf(texts);
    }

    /** Returns the calls of a list; empty when the key is not given. */
    List<FleetConfig.CallSpec> calls(String key) {
        List<FleetConfig.CallSpec> calls = new ArrayList<>();
        for (Value value : list(key)) {
            new CallReader(value, faults).read().ifPresent(calls::add);
        }
        return List.copyOf(calls);
    }

    private List<Value> list(String key) {
        Optional<Value> value = item.value(key);
        if (value.isEmpty()) {
            return List.of();
        }
        if (!value.get().node().isArray()) {
            fault(value.get(), "must be a list");
            return List.of();
        }
        List<Value> values = new ArrayList<>();
        Place place = value.get().place();
        for (int i = 0; i < value.get().node().size(); i++) {
            values.add(new Value(place.at(i), value.get().node().get(i)));
        }
        return values;
    }

    private Optional<Value> required(String key) {
        Optional<Value> value = item.value(key);
        if (value.isEmpty()) {
            faults.add(item.place().at(key).fault("must be given for '" + item.id() + "'"));
        }
        return value;
    }

    private void fault(Value value, String reason) {
        faults.add(value.place().fault(reason));
    }

    private static String shown(JsonNode node) {
        return node.isValueNode() ? node.asText() : node.toString();
    }
}
