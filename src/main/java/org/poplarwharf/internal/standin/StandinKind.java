package org.poplarwharf.internal.standin;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.function.Function;
import org.poplarwharf.internal.cli.OptionSpec;
import org.poplarwharf.internal.cli.OptionValues;

/**
 * A kind of stand-in as the command line knows it. Immutable and thread-safe.
 *
 * @param reader reads the options; faulty ones are kept in the values for their check
 */
record StandinKind(List<OptionSpec> options, Function<OptionValues, Starter> reader) {
    Starter starter(OptionValues values) {
        return reader.apply(values);
    }

    /** Starts a stand-in in the reactor's thread. */
    interface Starter {
        Standin start(NioReactor reactor);
    }
}
