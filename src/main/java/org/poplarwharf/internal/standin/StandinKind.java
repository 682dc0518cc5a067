package org.poplarwharf.internal.standin;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.function.Function;
import org.poplarwharf.internal.cli.OptionSpec;
import org.poplarwharf.internal.cli.OptionValues;

/**
 * The command line options of one kind of stand-in, and how to start it. Immutable and thread-safe.
 *
 * @param options the options of the kind
 * @param starterFactory reads the option values; invalid values are reported later by {@link OptionValues#throwIfInvalid}
 */
record StandinKind(List<OptionSpec> options, Function<OptionValues, Starter> starterFactory) {
    Starter createStarter(OptionValues values) {
        return starterFactory.apply(values);
    }

    /** Starts a stand-in. Must be called on the reactor thread. */
    interface Starter {
        Standin start(NioReactor reactor);
    }
}
