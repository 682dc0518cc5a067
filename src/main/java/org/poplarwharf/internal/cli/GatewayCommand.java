package org.poplarwharf.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
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
            ReloadSignal reloadSignal = ReloadSignal.register();
            Path file = Path.of(values.text(BOOT.flag()));
            PlatformGateway gateway = PlatformGateway.start(file, GatewaySettingsReader.read(file), out);
            reloadSignal.setAction(gateway::reload);
            ShutdownHook.install(() -> {
                gateway.drainAndStop();
                return EXIT_OK;
            });
            gateway.awaitStop();
            return EXIT_OK;
        });
    }
}
