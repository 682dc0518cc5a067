package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.topic.KeyedLog;

/**
 * Decodes pages of the latest records of a topic.
 *
 * <p>Invariant: an item that cannot be read costs none of the others. Stateless and thread-safe.
 */
final class LogPages {
    private static final String PAGE = "a page of the log";

    /** Reads pages whose keys have bytes that JSON text must not have. */
    private static final JsonMapper LENIENT_MAPPER = JsonMapper.builder()
            .enable(
                    JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS,
                    JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
            .build();

    private LogPages() {}

    static KeyedLog.LatestResult decode(byte[] body, long era) {
        Optional<JsonNode> page = parse(body);
        OptionalLong end = page.map(node -> JsonFields.getInteger(node, "end")).orElse(OptionalLong.empty());
        if (end.isEmpty()) {
            return new KeyedLog.Unavailable("unreadable page");
        }
        List<KeyedLog.KeyedRecord> records = new ArrayList<>();
        List<String> keys = new ArrayList<>();
        List<String> unreadable = new ArrayList<>();
        for (JsonNode item : page.get().path("items")) {
            JsonFields.getString(item, "key").ifPresent(keys::add);
            Optional<KeyedLog.KeyedRecord> record = decodeItem(item);
            if (record.isEmpty()) {
                unreadable.add(item.path("key").asText("an item without a key"));
            }
            record.ifPresent(records::add);
        }
        return new KeyedLog.Page(
                records,
                keys,
                unreadable,
                JsonFields.getBoolean(page.get(), "more"),
                new KeyedLog.Position(era, end.getAsLong()));
    }

    private static Optional<JsonNode> parse(byte[] body) {
        try {
            return Optional.of(JsonFields.parse(body, PAGE));
        } catch (PoplarWharfException e) {
            return parseLeniently(body);
        }
    }

    private static Optional<JsonNode> parseLeniently(byte[] body) {
        try {
            return Optional.ofNullable(LENIENT_MAPPER.readTree(new String(body, StandardCharsets.UTF_8)))
                    .filter(JsonNode::isObject);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Optional<KeyedLog.KeyedRecord> decodeItem(JsonNode item) {
        Optional<String> key = JsonFields.getString(item, "key");
        Optional<String> value = JsonFields.getString(item, "value");
        OptionalLong offset = JsonFields.getInteger(item, "offset");
        if (key.isEmpty() || value.isEmpty() || offset.isEmpty()) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Base64.getDecoder().decode(value.get());
            return Optional.of(new KeyedLog.KeyedRecord(offset.getAsLong(), key.get(), bytes));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
