package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.platform.GatewaySettingsReader;
import org.poplarwharf.internal.platform.PlatformGateway;

/**
 * {@code poplarwharf gateway}: runs a gateway on a platform of diskless VMs until the process receives a shutdown signal.
 *
 * <p>Stateless and thread-safe.
 */
public final class GatewayCommand implements Command {
    private static final OptionSpec BOOT =
            OptionSpec.of("boot", "FILE", "path of the boot settings file that the platform writes for this process");
    private static final OptionSet OPTIONS = new OptionSet("gateway", "", List.of(BOOT));

    @Override
    public String name() {
        return "gateway";
    }

    @Override
    public String summary() {
        return "runs a gateway that serves requests on a platform of diskless VMs";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> {
            ShutdownHook shutdown = ShutdownHook.register();
            try {
                return runGateway(Path.of(values.text(BOOT.flag())), shutdown, out);
            } finally {
                shutdown.withdraw();
            }
        });
    }

    private static int runGateway(Path file, ShutdownHook shutdown, PrintStream out) {
        ReloadSignal reloadSignal = ReloadSignal.register();
        GatewaySettings settings = GatewaySettingsReader.read(file);
        if (shutdown.isRequested()) {
            shutdown.setAction(() -> EXIT_OK);
            return EXIT_OK;
        }
        PlatformGateway gateway = PlatformGateway.start(file, settings, out);
        shutdown.setAction(() -> {
            gateway.drainAndStop(shutdown.millisSinceSignal());
            return EXIT_OK;
        });
        reloadSignal.setAction(gateway::reload);
        gateway.awaitStop();
        return EXIT_OK;
    }
}
