package org.poplarwharf.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.internal.gateway.GatewaySettings;

/**
 * Reads the YAML settings file that the platform writes for each process. Stateless and thread-safe.
 */
public final class GatewaySettingsReader {
    private static final YAMLMapper YAML = new YAMLMapper();

    private GatewaySettingsReader() {}

    /** Reads and validates the settings; throws {@code settings-invalid}, which names the first invalid field. */
    public static GatewaySettings read(Path file) {
        JsonNode node = parse(file);
        JsonNode listen = node.path("listen");
        JsonNode bounds = node.path("bounds");
        GatewaySettings defaults = GatewaySettings.DEFAULTS;
        return new GatewaySettings(
                requireString(node, "node", file),
                requireString(node, "zone", file),
                requireAddress(listen, "front", file),
                requireAddress(listen, "ready", file),
                requirePeerAddress(node, file),
                readPeerRequestAddress(node, file),
                requireAddress(node.path("platform"), "addr", file),
                JsonFields.getLong(bounds, "drainMs").orElse(defaults.targetRemovalMillis()),
                JsonFields.getLong(bounds, "configMs").orElse(defaults.planUpdateMillis()),
                JsonFields.getLong(bounds, "graceS").orElse(defaults.shutdownGraceMillis() / 1_000) * 1_000,
                JsonFields.getDouble(bounds, "retryRatio", defaults.retryRatio()),
                (int) JsonFields.getLong(bounds, "retrySlack").orElse(defaults.minRetryCount()),
                JsonFields.getLong(bounds, "retryWindowS").orElse(defaults.retryWindowMillis() / 1_000) * 1_000,
                JsonFields.getLong(bounds, "leaseMs").orElse(defaults.orderGapMillis()),
                JsonFields.getLong(bounds, "ceilingWindowS").orElse(defaults.loadWindowMillis() / 1_000) * 1_000,
                JsonFields.getDouble(bounds, "ceilingFactor", defaults.loadWindowFactor()),
                JsonFields.getLong(node, "heartbeatMs").orElse(defaults.heartbeatIntervalMillis()),
                (int) JsonFields.getLong(node.path("limits"), "maxFds").orElse(defaults.maxDescriptorCount()),
                readAccounts(bounds),
                hasContract(node, "pressure"),
                JsonFields.getBoolean(node, "placeBySpeed"));
    }

    private static AccountSettings readAccounts(JsonNode bounds) {
        AccountSettings defaults = AccountSettings.DEFAULTS;
        return new AccountSettings(
                JsonFields.getBoolean(bounds, "strictRevoke"),
                JsonFields.getLong(bounds, "revokeMs").orElse(defaults.revocationMillis()),
                JsonFields.getLong(bounds, "quotaWindowS").orElse(defaults.windowMillis() / 1_000) * 1_000,
                JsonFields.getDouble(bounds, "quotaExcess", defaults.excessRatio()),
                JsonFields.getDouble(bounds, "quotaSlack", defaults.slackUnits()));
    }

    private static boolean hasContract(JsonNode node, String name) {
        for (JsonNode contract : node.path("contracts")) {
            if (name.equals(contract.textValue())) {
                return true;
            }
        }
        return false;
    }

    private static JsonNode parse(Path file) {
        try {
            return YAML.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw Reporter.settingsInvalid(
                    List.of("The settings file " + file + " can't be read: " + e.getMessage() + "."));
        }
    }

    private static String requireString(JsonNode node, String field, Path file) {
        return JsonFields.getString(node, field).orElseThrow(() -> missingField(field, file));
    }

    private static InetSocketAddress requireAddress(JsonNode node, String field, Path file) {
        return JsonFields.getString(node, field).flatMap(HostPort::parse).orElseThrow(() -> missingField(field, file));
    }

    private static InetSocketAddress requirePeerAddress(JsonNode node, Path file) {
        JsonNode ports = node.path("portRange");
        if (!ports.path(0).isInt()) {
            throw missingField("portRange", file);
        }
        return new InetSocketAddress(
                requireString(node, "ip", file), ports.path(0).intValue());
    }

    /** Returns the second address of those that are free for nodes; empty if there is only one. */
    private static Optional<InetSocketAddress> readPeerRequestAddress(JsonNode node, Path file) {
        InetSocketAddress first = requirePeerAddress(node, file);
        return node.path("portRange").path(1).asInt() > first.getPort()
                ? Optional.of(new InetSocketAddress(first.getAddress(), first.getPort() + 1))
                : Optional.empty();
    }

    private static RuntimeException missingField(String field, Path file) {
        return Reporter.settingsInvalid(List.of("The settings file " + file + " has no usable field '" + field + "'."));
    }
}
