package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.gateway.GatewaySettings;

/**
 * Reads the settings file that the platform writes for each process. Stateless and thread-safe.
 */
public final class BootFile {
    private static final YAMLMapper YAML = new YAMLMapper();

    private BootFile() {}

    /** Returns the checked settings; raises {@code settings-invalid} that names the first field at fault. */
    public static GatewaySettings read(Path file) {
        JsonNode node = parse(file);
        JsonNode listen = node.path("listen");
        JsonNode bounds = node.path("bounds");
        GatewaySettings defaults = GatewaySettings.DEFAULTS;
        return new GatewaySettings(
                text(node, "node", file),
                text(node, "zone", file),
                address(listen, "front", file),
                address(listen, "ready", file),
                peerAddress(node, file),
                address(node.path("platform"), "addr", file),
                JsonFields.number(bounds, "drainMs").orElse(defaults.targetRemovalMillis()),
                JsonFields.number(bounds, "configMs").orElse(defaults.planUpdateMillis()),
                JsonFields.number(bounds, "graceS").orElse(defaults.shutdownGraceMillis() / 1_000) * 1_000,
                JsonFields.decimal(bounds, "retryRatio", defaults.retryRatio()),
                (int) JsonFields.number(bounds, "retrySlack").orElse(defaults.minRetryCount()),
                JsonFields.number(bounds, "retryWindowS").orElse(defaults.retryWindowMillis() / 1_000) * 1_000,
                JsonFields.number(bounds, "leaseMs").orElse(defaults.orderGapMillis()),
                JsonFields.number(bounds, "ceilingWindowS").orElse(defaults.loadWindowMillis() / 1_000) * 1_000,
                JsonFields.decimal(bounds, "ceilingFactor", defaults.loadWindowFactor()),
                JsonFields.number(node, "heartbeatMs").orElse(defaults.heartbeatIntervalMillis()));
    }

    private static JsonNode parse(Path file) {
        try {
            return YAML.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw Reporter.settingsInvalid(
                    List.of("The settings file " + file + " can't be read: " + e.getMessage() + "."));
        }
    }

    private static String text(JsonNode node, String field, Path file) {
        return JsonFields.text(node, field).orElseThrow(() -> missing(field, file));
    }

    private static InetSocketAddress address(JsonNode node, String field, Path file) {
        return JsonFields.text(node, field).flatMap(HostPort::parse).orElseThrow(() -> missing(field, file));
    }

    private static InetSocketAddress peerAddress(JsonNode node, Path file) {
        JsonNode ports = node.path("portRange");
        if (!ports.path(0).isInt()) {
            throw missing("portRange", file);
        }
        return new InetSocketAddress(text(node, "ip", file), ports.path(0).intValue());
    }

    private static RuntimeException missing(String field, Path file) {
        return Reporter.settingsInvalid(List.of("The settings file " + file + " has no usable field '" + field + "'."));
    }
}
