package org.poplarwharf.internal.cli;

import java.util.List;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * Reads a node's settings from its options and validates them, each alone and in combination.
 *
 * <p>Stateless and thread-safe.
 */
final class NodeSettingsReader {
    /** Minimum number of renewals per lease, so that a holder keeps its lease if one renewal is lost. */
    private static final int MIN_RENEWALS_PER_LEASE = 2;

    /** Minimum log retention in lease durations, so that a new holder can write a checkpoint before records expire. */
    private static final int MIN_LEASES_PER_LOG_RETENTION = 10;

    private static final int MAX_TRAFFIC_THREADS = 256;
    private static final int MAX_STORE_CONCURRENT_LOADS = 10_000;
    private static final int MIN_KEY_VALIDITIES_PER_LOG_RETENTION = 2;
    private static final int MAX_BODY_BYTES = 1 << 30;

    /** All options of a node. */
    static final List<OptionSpec> SPECS = List.of(
            OptionSpec.of("node-id", "NAME", "node id, unique among all running nodes"),
            OptionSpec.of("vm-id", "NAME", "id of the VM that the node runs on; defaults to the node id"),
            OptionSpec.of("zone", "NAME", "availability zone of the VM"),
            OptionSpec.of(
                    "listen", "HOST:PORT", "127.0.0.1:8080", "listen address for callers; port 0 selects a free port"),
            OptionSpec.of("peer", "HOST:PORT", "127.0.0.1:7080", "listen address for other nodes"),
            OptionSpec.of("admin", "HOST:PORT", "127.0.0.1:9080", "listen address of the administration API"),
            OptionSpec.of(
                    "admin-token",
                    "TEXT",
                    "",
                    "bearer token of the administration API; if empty, only health and readiness are served"),
            OptionSpec.of(
                    "peer-advertise", "HOST:PORT", "address that other nodes connect to, if it differs from --peer"),
            OptionSpec.of("peers", "LIST", "", "peer addresses of the nodes to contact first"),
            OptionSpec.of("log", "HOST:PORT", "address of the platform's log"),
            OptionSpec.of("vm-list", "HOST:PORT", "address of the platform's VM list"),
            OptionSpec.of("log-protocol", "NAME", "http", "plugin for the protocol of the log"),
            OptionSpec.of("vm-list-protocol", "NAME", "http", "plugin for the protocol of the VM list"),
            OptionSpec.of("engine-dialect", "NAME", "openai", "plugin for the API of the engines"),
            OptionSpec.of("replica-selector", "NAME", "least-loaded", "plugin that selects a replica for a request"),
            OptionSpec.of("idle-policy", "NAME", "fixed", "plugin that decides how long idle models stay loaded"),
            OptionSpec.of("traffic-threads", "COUNT", "2", "number of threads that handle caller traffic"),
            OptionSpec.of("lease", "DURATION", "3s", "duration of a cell's lease"),
            OptionSpec.of("drift", "DURATION", "300ms", "maximum clock drift between two nodes during a lease"),
            OptionSpec.of("renew", "DURATION", "1s", "interval at which a holder renews its lease"),
            OptionSpec.of("engine-report", "DURATION", "500ms", "interval at which a holder polls each engine"),
            OptionSpec.of("keep-alive", "DURATION", "5m", "how long an idle model stays loaded"),
            OptionSpec.of("progress-timeout", "DURATION", "5s", "time without progress after which a connection fails"),
            OptionSpec.of(
                    "drain", "DURATION", "30s", "time that in-flight requests get to finish after a shutdown request"),
            OptionSpec.of("store-loads-per-second", "NUMBER", "1.5", "rate limit of model loads from the weight store"),
            OptionSpec.of(
                    "store-full-speed-places",
                    "COUNT",
                    "4",
                    "maximum concurrent loads that the store serves at full speed"),
            OptionSpec.of("max-body", "BYTES", "4194304", "maximum size of a request body"),
            OptionSpec.of("log-retention", "DURATION", "60m", "retention time of records in the platform's log"),
            OptionSpec.of("drain-notice", "DURATION", "2s", "time that a draining node still accepts connections"),
            OptionSpec.of("key-validity", "DURATION", "30m", "how long an Idempotency-Key is remembered"));

    private NodeSettingsReader() {}

    /** Returns the settings, or fails with one failure that lists all errors. */
    static NodeSettings read(OptionValues values) {
        NodeSettings settings = new NodeSettings(
                values.text("node-id"),
                values.optionalText("vm-id")
                        .or(() -> values.optionalText("node-id"))
                        .orElse(""),
                values.text("zone"),
                values.address("listen"),
                values.address("peer"),
                values.address("admin"),
                values.optionalText("admin-token"),
                values.addresses("peers"),
                values.address("log"),
                values.address("vm-list"),
                values.text("log-protocol"),
                values.text("vm-list-protocol"),
                values.text("engine-dialect"),
                values.text("replica-selector"),
                values.text("idle-policy"),
                values.integer("traffic-threads", 1, MAX_TRAFFIC_THREADS),
                values.durationMillis("lease"),
                values.durationMillis("drift"),
                values.durationMillis("renew"),
                values.durationMillis("engine-report"),
                values.durationMillis("keep-alive"),
                values.durationMillis("progress-timeout"),
                values.durationMillis("drain"),
                values.positiveNumber("store-loads-per-second"),
                values.integer("store-full-speed-places", 1, MAX_STORE_CONCURRENT_LOADS),
                values.integer("max-body", 1, MAX_BODY_BYTES),
                values.durationMillis("log-retention"),
                values.optionalText("peer-advertise").map(text -> values.address("peer-advertise")),
                values.durationMillis("drain-notice"),
                values.durationMillis("key-validity"));
        if (!values.hasErrors()) {
            validateCombinations(settings, values);
        }
        values.throwIfInvalid();
        return settings;
    }

    private static void validateCombinations(NodeSettings settings, OptionValues values) {
        values.require(
                settings.leaseRenewMillis() > 0
                        && settings.leaseRenewMillis() * MIN_RENEWALS_PER_LEASE <= settings.leaseMillis(),
                "renew",
                "must be above zero and at most half of --lease");
        values.require(settings.maxClockDriftMillis() < settings.leaseMillis(), "drift", "must be below --lease");
        values.require(settings.enginePollMillis() > 0, "engine-report", "must be above zero");
        values.require(
                settings.logRetentionMillis() >= settings.leaseMillis() * MIN_LEASES_PER_LOG_RETENTION,
                "log-retention",
                "must be at least ten times --lease");
        values.require(
                settings.idempotencyKeyTtlMillis() > 0
                        && settings.idempotencyKeyTtlMillis() * MIN_KEY_VALIDITIES_PER_LOG_RETENTION
                                <= settings.logRetentionMillis(),
                "key-validity",
                "must be above zero and at most half of --log-retention");
        values.require(settings.drainNoticeMillis() < settings.drainMillis(), "drain-notice", "must be below --drain");
        values.require(settings.progressTimeoutMillis() > 0, "progress-timeout", "must be above zero");
        values.require(differ(settings.listenAddress(), settings.peerAddress()), "peer", "must differ from --listen");
        values.require(differ(settings.listenAddress(), settings.adminAddress()), "admin", "must differ from --listen");
        values.require(differ(settings.peerAddress(), settings.adminAddress()), "admin", "must differ from --peer");
    }

    private static boolean differ(String first, String second) {
        return first.endsWith(":0") || !first.equals(second);
    }
}
