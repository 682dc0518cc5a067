package org.poplarwharf.internal.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.cli.OptionSpec;
import org.poplarwharf.internal.cli.OptionValues;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The options of each kind of stand-in. Stateless and thread-safe.
 */
final class StandinKinds {
    private static final int EXIT_CRASHED = 137;
    private static final int MANY = 1_000_000_000;

    private StandinKinds() {}

    static StandinKind log() {
        return new StandinKind(
                options(
                        OptionSpec.of("appends-per-second", "NUMBER", "400", "faster appends wait for their turn"),
                        OptionSpec.of("retention", "DURATION", "60m", "older records are dropped"),
                        OptionSpec.of("retention-records", "COUNT", "1000000", "the most records of a stream"),
                        OptionSpec.of("seed", "COUNT", "1", "seed of the chance faults")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    LogSettings settings = new LogSettings(
                            values.positiveNumber("appends-per-second"),
                            values.durationMillis("retention"),
                            values.integer("retention-records", 1, MANY),
                            values.integer("seed", 0, MANY));
                    return reactor -> LogStandin.start(reactor, addresses, settings);
                });
    }

    static StandinKind vms() {
        return new StandinKind(
                options(OptionSpec.of("lag", "DURATION", "0ms", "how long a change stays invisible")), values -> {
                    StandinAddresses addresses = addresses(values);
                    long lagMillis = values.durationMillis("lag");
                    return reactor -> VmListStandin.start(reactor, addresses, lagMillis);
                });
    }

    static StandinKind store() {
        return new StandinKind(
                options(
                        OptionSpec.of("loads-per-second", "NUMBER", "1.5", "faster fetches wait for their turn"),
                        OptionSpec.of("full-speed-places", "COUNT", "4", "fetches at full speed; more share it"),
                        OptionSpec.of("bytes-per-second", "NUMBER", "2e9", "full speed of one fetch")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    StoreSettings settings = new StoreSettings(
                            values.positiveNumber("loads-per-second"),
                            values.integer("full-speed-places", 1, MANY),
                            values.positiveNumber("bytes-per-second"));
                    return reactor -> StoreStandin.start(reactor, addresses, settings);
                });
    }

    static StandinKind engine() {
        return new StandinKind(
                options(
                        OptionSpec.of("memory-bytes", "NUMBER", "8e10", "accelerator memory; more is a breach"),
                        OptionSpec.of("max-running", "COUNT", "8", "requests in one batch"),
                        OptionSpec.of("prefill", "DURATION", "20ms", "time before the first token"),
                        OptionSpec.of("token", "DURATION", "5ms", "time between tokens"),
                        OptionSpec.of("default-tokens", "COUNT", "16", "length of an answer without max_tokens"),
                        OptionSpec.toggle("no-fencing", "take orders with any fencing number"),
                        OptionSpec.of("report-lag", "DURATION", "300ms", "age of reported load figures"),
                        OptionSpec.of("store", "HOST:PORT", "", "the weight store; without it all copies are near"),
                        OptionSpec.of("near-bytes-per-second", "NUMBER", "2e10", "loading speed of near copies"),
                        OptionSpec.of("near-copies", "COUNT", "3", "the most near copies kept"),
                        OptionSpec.of("near", "LIST", "", "near copies at the start"),
                        OptionSpec.of("unload", "DURATION", "50ms", "how long an unload takes")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    EngineSettings settings = engineSettings(values);
                    return reactor -> EngineStandin.startProcess(reactor, addresses, settings, StandinKinds::crash);
                });
    }

    static StandinKind service() {
        return new StandinKind(
                options(OptionSpec.of("service-time", "DURATION", "0ms", "how long a call takes")), values -> {
                    StandinAddresses addresses = addresses(values);
                    long serviceMillis = values.durationMillis("service-time");
                    return reactor ->
                            ServiceStandin.startProcess(reactor, addresses, serviceMillis, StandinKinds::crash);
                });
    }

    static StandinKind proxy() {
        return new StandinKind(
                options(
                        OptionSpec.of("upstream", "HOST:PORT", "", "where the link 'main' from --listen leads to"),
                        OptionSpec.of("links", "LIST", "", "further links, each NAME=HOST:PORT=HOST:PORT")),
                values -> {
                    StandinAddresses addresses = addresses(values);
                    List<ProxyStandin.Link> links = links(values);
                    values.require(!links.isEmpty(), "upstream", "must be given, or --links");
                    return reactor -> ProxyStandin.start(reactor, addresses, links);
                });
    }

    private static EngineSettings engineSettings(OptionValues values) {
        return new EngineSettings(
                (long) values.positiveNumber("memory-bytes"),
                values.integer("max-running", 1, MANY),
                values.durationMillis("prefill"),
                values.durationMillis("token"),
                values.integer("default-tokens", 1, MANY),
                !values.isSet("no-fencing"),
                values.durationMillis("report-lag"),
                values.addresses("store").stream().findFirst(),
                values.positiveNumber("near-bytes-per-second"),
                values.integer("near-copies", 0, MANY),
                values.list("near").stream().map(ArtifactId::parse).toList(),
                values.durationMillis("unload"));
    }

    private static List<ProxyStandin.Link> links(OptionValues values) {
        List<ProxyStandin.Link> links = new ArrayList<>();
        values.addresses("upstream")
                .forEach(upstream -> links.add(new ProxyStandin.Link("main", values.text("listen"), upstream)));
        for (String text : values.list("links")) {
            String[] parts = text.split("=");
            values.require(parts.length == 3, "links", "'" + text + "' is not NAME=HOST:PORT=HOST:PORT");
            if (parts.length == 3) {
                links.add(new ProxyStandin.Link(parts[0], parts[1], parts[2]));
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

    private static List<OptionSpec> options(OptionSpec... own) {
        List<OptionSpec> options = new ArrayList<>();
        options.add(OptionSpec.of("listen", "HOST:PORT", "127.0.0.1:0", "where clients connect; port 0 picks one"));
        options.add(OptionSpec.of("admin", "HOST:PORT", "127.0.0.1:0", "where faults are set and journals read"));
        options.add(OptionSpec.of("journal", "FILE", "", "a file that keeps the journal as JSON lines"));
        options.addAll(List.of(own));
        return options;
    }

    private static void crash() {
        Runtime.getRuntime().halt(EXIT_CRASHED);
    }
}
