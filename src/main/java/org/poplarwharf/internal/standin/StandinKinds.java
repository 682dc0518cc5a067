package org.poplarwharf.internal.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.cli.OptionSpec;
import org.poplarwharf.internal.cli.OptionValues;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Defines each kind of stand-in that the command line offers. Stateless and thread-safe.
 */
final class StandinKinds {
    /** The exit status of a process that ended with SIGKILL. */
    private static final int EXIT_CRASHED = 137;

    private static final int MAX_OPTION_VALUE = 1_000_000_000;

    private StandinKinds() {}

    static StandinKind log() {
        return new StandinKind(
                withCommonOptions(
                        OptionSpec.of(
                                "appends-per-second",
                                "NUMBER",
                                "400",
                                "maximum append rate; excess appends are delayed"),
                        OptionSpec.of("retention", "DURATION", "60m", "age beyond which records are dropped"),
                        OptionSpec.of("retention-records", "COUNT", "1000000", "maximum number of records in a stream"),
                        OptionSpec.of("seed", "COUNT", "1", "seed of the random faults")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    LogSettings settings = new LogSettings(
                            values.positiveNumber("appends-per-second"),
                            values.durationMillis("retention"),
                            values.integer("retention-records", 1, MAX_OPTION_VALUE),
                            values.integer("seed", 0, MAX_OPTION_VALUE));
                    return reactor -> LogStandin.start(reactor, addresses, settings);
                });
    }

    static StandinKind vmList() {
        return new StandinKind(
                withCommonOptions(OptionSpec.of("lag", "DURATION", "0ms", "delay until a change becomes visible")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    long lagMillis = values.durationMillis("lag");
                    return reactor -> VmListStandin.start(reactor, addresses, lagMillis);
                });
    }

    static StandinKind store() {
        return new StandinKind(
                withCommonOptions(
                        OptionSpec.of(
                                "loads-per-second", "NUMBER", "1.5", "maximum fetch rate; excess fetches are delayed"),
                        OptionSpec.of(
                                "full-speed-places", "COUNT", "4", "concurrent fetches at full speed; more share it"),
                        OptionSpec.of("bytes-per-second", "NUMBER", "2e9", "full speed of one fetch")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    StoreSettings settings = new StoreSettings(
                            values.positiveNumber("loads-per-second"),
                            values.integer("full-speed-places", 1, MAX_OPTION_VALUE),
                            values.positiveNumber("bytes-per-second"));
                    return reactor -> StoreStandin.start(reactor, addresses, settings);
                });
    }

    static StandinKind engine() {
        return new StandinKind(
                withCommonOptions(
                        OptionSpec.of("memory-bytes", "NUMBER", "8e10", "accelerator memory; using more is a breach"),
                        OptionSpec.of("max-running", "COUNT", "8", "maximum concurrent requests"),
                        OptionSpec.of("prefill", "DURATION", "20ms", "time before the first token"),
                        OptionSpec.of("token", "DURATION", "5ms", "time between tokens"),
                        OptionSpec.of("default-tokens", "COUNT", "16", "response length without max_tokens"),
                        OptionSpec.toggle("no-fencing", "accept orders with any fencing number"),
                        OptionSpec.of("report-lag", "DURATION", "300ms", "age of load figures in reports"),
                        OptionSpec.of("store", "HOST:PORT", "", "weight store; without it all copies are near"),
                        OptionSpec.of("near-bytes-per-second", "NUMBER", "2e10", "loading speed from near copies"),
                        OptionSpec.of("near-copies", "COUNT", "3", "maximum number of near copies"),
                        OptionSpec.of("near", "LIST", "", "near copies at startup"),
                        OptionSpec.of("unload", "DURATION", "50ms", "duration of an unload")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    EngineSettings settings = engineSettings(values);
                    return reactor ->
                            EngineStandin.startAsProcess(reactor, addresses, settings, StandinKinds::haltAsCrashed);
                });
    }

    static StandinKind service() {
        return new StandinKind(
                withCommonOptions(OptionSpec.of("service-time", "DURATION", "0ms", "duration of a call")), values -> {
                    StandinAddresses addresses = addresses(values);
                    long serviceMillis = values.durationMillis("service-time");
                    return reactor -> ServiceStandin.startAsProcess(
                            reactor, addresses, serviceMillis, StandinKinds::haltAsCrashed);
                });
    }

    static StandinKind proxy() {
        return new StandinKind(
                withCommonOptions(
                        OptionSpec.of(
                                "upstream", "HOST:PORT", "", "upstream of the link 'main', which listens on --listen"),
                        OptionSpec.of(
                                "links", "LIST", "", "further links, each NAME=LISTEN_HOST:PORT=UPSTREAM_HOST:PORT")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    List<ProxyStandin.LinkSpec> links = links(values);
                    values.require(!links.isEmpty(), "upstream", "is required unless --links is given");
                    return reactor -> ProxyStandin.start(reactor, addresses, links);
                });
    }

    private static EngineSettings engineSettings(OptionValues values) {
        return new EngineSettings(
                (long) values.positiveNumber("memory-bytes"),
                values.integer("max-running", 1, MAX_OPTION_VALUE),
                values.durationMillis("prefill"),
                values.durationMillis("token"),
                values.integer("default-tokens", 1, MAX_OPTION_VALUE),
                !values.isSet("no-fencing"),
                values.durationMillis("report-lag"),
                values.addresses("store").stream().findFirst(),
                values.positiveNumber("near-bytes-per-second"),
                values.integer("near-copies", 0, MAX_OPTION_VALUE),
                values.list("near").stream().map(ArtifactId::parse).toList(),
                values.durationMillis("unload"));
    }

    private static List<ProxyStandin.LinkSpec> links(OptionValues values) {
        List<ProxyStandin.LinkSpec> links = new ArrayList<>();
        values.addresses("upstream")
                .forEach(upstream -> links.add(new ProxyStandin.LinkSpec("main", values.text("listen"), upstream)));
        for (String text : values.list("links")) {
            String[] parts = text.split("=");
            values.require(parts.length == 3, "links", "'" + text + "' is not NAME=HOST:PORT=HOST:PORT");
            if (parts.length == 3) {
                links.add(new ProxyStandin.LinkSpec(parts[0], parts[1], parts[2]));
            }
        }
        return links;
    }

    private static StandinAddresses addresses(OptionValues values) {
        return new StandinAddresses(
                StandinAddresses.parse(values.address("listen")),
                StandinAddresses.parse(values.address("admin")),
                values.optionalText("journal").map(Path::of));
    }

    private static List<OptionSpec> withCommonOptions(OptionSpec... kindOptions) {
        List<OptionSpec> options = new ArrayList<>();
        options.add(
                OptionSpec.of("listen", "HOST:PORT", "127.0.0.1:0", "address for clients; port 0 picks a free port"));
        options.add(
                OptionSpec.of("admin", "HOST:PORT", "127.0.0.1:0", "address for setting faults and reading journals"));
        options.add(OptionSpec.of("journal", "FILE", "", "file to which the journal is appended as JSON lines"));
        options.addAll(List.of(kindOptions));
        return options;
    }

    private static void haltAsCrashed() {
        Runtime.getRuntime().halt(EXIT_CRASHED);
    }
}
