package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.internal.load.FixedRateProbe;

/**
 * {@code poplarwharf probe}: measures and compares the response times of several URLs in one run.
 *
 * <p>Stateless and thread-safe.
 */
public final class ProbeCommand implements Command {
    private static final String TARGETS = "targets";
    private static final String RATE = "rate";
    private static final String WARM_UP = "warm-up";
    private static final String DURATION = "duration";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final OptionSet OPTIONS = new OptionSet(
            "probe",
            "",
            List.of(
                    OptionSpec.of(TARGETS, "LIST", "", "URLs to send requests to, each as NAME=URL"),
                    OptionSpec.of(RATE, "NUMBER", "100", "requests per second to each URL"),
                    OptionSpec.of(WARM_UP, "DURATION", "5s", "warm-up time, excluded from the results"),
                    OptionSpec.of(DURATION, "DURATION", "20s", "measurement time after the warm-up")));

    @Override
    public String name() {
        return "probe";
    }

    @Override
    public String summary() {
        return "compares the response times of several URLs at a fixed request rate, as JSON";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> probe(values, out));
    }

    private static int probe(OptionValues values, PrintStream out) {
        List<FixedRateProbe.Endpoint> targets = new ArrayList<>();
        for (String text : values.list(TARGETS)) {
            int equals = text.indexOf('=');
            values.require(equals > 0, TARGETS, "'" + text + "' is not NAME=URL");
            if (equals > 0) {
                targets.add(new FixedRateProbe.Endpoint(text.substring(0, equals), text.substring(equals + 1)));
            }
        }
        values.require(!targets.isEmpty(), TARGETS, "must be given");
        double requestsPerSecond = values.positiveNumber(RATE);
        double warmUpSeconds = values.durationMillis(WARM_UP) / MILLIS_PER_SECOND;
        double durationSeconds = values.durationMillis(DURATION) / MILLIS_PER_SECOND;
        values.throwIfInvalid();
        FixedRateProbe probe = new FixedRateProbe(targets, requestsPerSecond, warmUpSeconds, durationSeconds);
        out.println(new ObjectMapper().valueToTree(probe.run()).toString());
        return EXIT_OK;
    }
}
