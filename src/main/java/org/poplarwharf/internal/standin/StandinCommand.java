package org.poplarwharf.internal.standin;

import io.activej.eventloop.Eventloop;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.cli.Command;
import org.poplarwharf.internal.cli.OptionSet;
import org.poplarwharf.internal.cli.OptionValues;

/**
 * {@code poplarwharf standin KIND}: runs one stand-in in this process until the process is terminated.
 *
 * <p>Stateless and thread-safe.
 */
public final class StandinCommand implements Command {
    private static final Map<String, StandinKind> KINDS = new TreeMap<>(Map.of(
            "log", StandinKinds.log(),
            "vms", StandinKinds.vmList(),
            "store", StandinKinds.store(),
            "engine", StandinKinds.engine(),
            "service", StandinKinds.service(),
            "proxy", StandinKinds.proxy()));

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String summary() {
        return "runs a stand-in for an outside system: " + String.join(", ", KINDS.keySet());
    }

    @Override
    public String logLevel() {
        return "info";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        if (arguments.isEmpty() || arguments.getFirst().equals("--help")) {
            PrintStream stream = arguments.isEmpty() ? err : out;
            stream.println("Usage: poplarwharf standin " + String.join("|", KINDS.keySet()) + " [OPTIONS]");
            return arguments.isEmpty() ? EXIT_USAGE : EXIT_OK;
        }
        StandinKind kind = KINDS.get(arguments.getFirst());
        if (kind == null) {
            err.println("poplarwharf standin: unknown kind of stand-in '" + arguments.getFirst() + "'; choose from "
                    + String.join(", ", KINDS.keySet()) + ".");
            return EXIT_USAGE;
        }
        OptionSet options = new OptionSet("standin " + arguments.getFirst(), "", kind.options());
        return options.run(
                arguments.subList(1, arguments.size()), out, err, values -> runUntilTerminated(kind, values, out));
    }

    private static int runUntilTerminated(StandinKind kind, OptionValues values, PrintStream out) {
        StandinKind.Starter starter = kind.createStarter(values);
        values.throwIfInvalid();
        Eventloop reactor = Eventloop.create();
        reactor.keepAlive(true);
        AtomicReference<PoplarWharfException> failure = new AtomicReference<>();
        reactor.post(() -> {
            try {
                Standin standin = starter.start(reactor);
                out.println(listeningLine(standin));
                out.flush();
            } catch (PoplarWharfException e) {
                failure.set(e);
                reactor.keepAlive(false);
                reactor.breakEventloop();
            }
        });
        reactor.run();
        Optional.ofNullable(failure.get()).ifPresent(e -> {
            throw e;
        });
        return EXIT_OK;
    }

    private static String listeningLine(Standin standin) {
        Listening listening = new Listening("listening", standin.address(), standin.adminAddress());
        return new String(StandinJson.write(listening), StandardCharsets.UTF_8);
    }

    /** The JSON line that is printed when the stand-in accepts connections. */
    private record Listening(String event, String address, String admin) {}
}
