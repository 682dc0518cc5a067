package org.poplarwharf.internal.cli;

import java.util.List;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * Reads a node's settings from its options and checks them against each other.
 *
 * <p>Stateless and thread-safe.
 */
final class NodeSettingsReader {
    /** How many renewals must fit into a lease, so that one lost renewal does not cost it. */
    private static final int RENEWALS_PER_LEASE = 2;

    /** How many leases the log must remember, so that a new holder can write a checkpoint in time. */
    private static final int LEASES_PER_RETENTION = 10;

    private static final int MOST_THREADS = 256;
    private static final int MOST_PLACES = 10_000;
    private static final int VALIDITIES_PER_RETENTION = 2;
    private static final int MOST_BODY_BYTES = 1 << 30;

    /** The options of a node. */
    static final List<OptionSpec> SPECS = List.of(
            OptionSpec.of("node-id", "NAME", "unique among the nodes that run at one time"),
            OptionSpec.of("vm-id", "NAME", "the VM that the node runs on; the node id when not given"),
            OptionSpec.of("zone", "NAME", "the availability zone of the VM"),
            OptionSpec.of("listen", "HOST:PORT", "127.0.0.1:8080", "where callers connect; port 0 picks a free one"),
            OptionSpec.of("peer", "HOST:PORT", "127.0.0.1:7080", "where other nodes connect"),
            OptionSpec.of("admin", "HOST:PORT", "127.0.0.1:9080", "where operators connect"),
            OptionSpec.of("admin-token", "TEXT", "", "what operators must show; without it only health is served"),
            OptionSpec.of("peer-advertise", "HOST:PORT", "where other nodes are told to connect, when not --peer"),
            OptionSpec.of("peers", "LIST", "", "peer addresses of nodes to start from"),
            OptionSpec.of("log", "HOST:PORT", "the platform's log"),
            OptionSpec.of("vm-list", "HOST:PORT", "the platform's list of VMs"),
            OptionSpec.of("log-protocol", "NAME", "http", "the plug-in that talks to the log"),
            OptionSpec.of("vm-list-protocol", "NAME", "http", "the plug-in that talks to the VM list"),
            OptionSpec.of("engine-dialect", "NAME", "openai", "the plug-in that talks to engines"),
            OptionSpec.of("replica-selector", "NAME", "least-loaded", "the plug-in that picks a replica"),
            OptionSpec.of("idle-policy", "NAME", "fixed", "the plug-in that decides how long idle models stay"),
            OptionSpec.of("traffic-threads", "COUNT", "2", "threads that carry callers' traffic"),
            OptionSpec.of("lease", "DURATION", "3s", "how long a cell's lease lasts"),
            OptionSpec.of("drift", "DURATION", "300ms", "how far apart two clocks may drift within a lease"),
            OptionSpec.of("renew", "DURATION", "1s", "how often a holder renews"),
            OptionSpec.of("engine-report", "DURATION", "500ms", "how often a holder asks each engine for its report"),
            OptionSpec.of("keep-alive", "DURATION", "5m", "how long an idle model stays loaded"),
            OptionSpec.of("progress-timeout", "DURATION", "5s", "how long a connection may show no progress"),
            OptionSpec.of("drain", "DURATION", "30s", "how long requests may go on after a shutdown was asked for"),
            OptionSpec.of("store-loads-per-second", "NUMBER", "1.5", "loads a second that the weight store allows"),
            OptionSpec.of("store-full-speed-places", "COUNT", "4", "loads that the store serves at full speed"),
            OptionSpec.of("max-body", "BYTES", "4194304", "the largest body of a request"),
            OptionSpec.of("log-retention", "DURATION", "60m", "how long the platform's log keeps a record"),
            OptionSpec.of("drain-notice", "DURATION", "2s", "how long a draining node still takes connections"),
            OptionSpec.of("key-validity", "DURATION", "30m", "how long an Idempotency-Key is known"));

    private NodeSettingsReader() {}

    /** Returns the settings, or fails with every fault at once. */
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
                values.integer("traffic-threads", 1, MOST_THREADS),
                values.durationMillis("lease"),
                values.durationMillis("drift"),
                values.durationMillis("renew"),
                values.durationMillis("engine-report"),
                values.durationMillis("keep-alive"),
                values.durationMillis("progress-timeout"),
                values.durationMillis("drain"),
                values.positiveNumber("store-loads-per-second"),
                values.integer("store-full-speed-places", 1, MOST_PLACES),
                values.integer("max-body", 1, MOST_BODY_BYTES),
                values.durationMillis("log-retention"),
                values.optionalText("peer-advertise").map(text -> values.address("peer-advertise")),
                values.durationMillis("drain-notice"),
                values.durationMillis("key-validity"));
        if (!values.faulty()) {
            checkTogether(settings, values);
        }
        values.check();
        return settings;
    }

    private static void checkTogether(NodeSettings settings, OptionValues values) {
        values.require(
                settings.leaseRenewMillis() > 0
                        && settings.leaseRenewMillis() * RENEWALS_PER_LEASE <= settings.leaseMillis(),
                "renew",
                "must be above zero and at most half of --lease");
        values.require(settings.maxClockDriftMillis() < settings.leaseMillis(), "drift", "must be below --lease");
        values.require(settings.enginePollMillis() > 0, "engine-report", "must be above zero");
        values.require(
                settings.logRetentionMillis() >= settings.leaseMillis() * LEASES_PER_RETENTION,
                "log-retention",
                "must be at least ten times --lease");
        values.require(
                settings.idempotencyKeyTtlMillis() > 0
                        && settings.idempotencyKeyTtlMillis() * VALIDITIES_PER_RETENTION
                                <= settings.logRetentionMillis(),
                "key-validity",
                "must be above zero and at most half of --log-retention");
        values.require(settings.drainNoticeMillis() < settings.drainMillis(), "drain-notice", "must be below --drain");
        values.require(settings.progressTimeoutMillis() > 0, "progress-timeout", "must be above zero");
        values.require(distinct(settings.listenAddress(), settings.peerAddress()), "peer", "must differ from --listen");
        values.require(
                distinct(settings.listenAddress(), settings.adminAddress()), "admin", "must differ from --listen");
        values.require(distinct(settings.peerAddress(), settings.adminAddress()), "admin", "must differ from --peer");
    }

    private static boolean distinct(String one, String other) {
        return one.endsWith(":0") || !one.equals(other);
    }
}
