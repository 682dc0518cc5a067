package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.poplarwharf.internal.config.ConfigClient;
import org.poplarwharf.internal.config.ConfigClient.DecidedChange;
import org.poplarwharf.internal.config.ConfigDirectory;
import org.poplarwharf.internal.config.ConfigMerger;
import org.poplarwharf.internal.config.ConfigMerger.MergeResult;
import org.poplarwharf.internal.config.ConfigRecord.FileChange;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.ServiceLoaderRegistry;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;
import org.poplarwharf.plugins.EventLog;

/**
 * {@code poplarwharf config}: validates, publishes and prints the configuration. Stateless and thread-safe.
 */
public final class ConfigCommand implements Command {
    private static final String LOG_PROTOCOL = "http";
    private static final String LOG = "log";
    private static final String OPERATOR = "operator";
    private static final String BASE = "base";
    private static final String TIMEOUT = "timeout";
    private static final long NO_PREVIOUS_VERSION = -1;
    private static final OptionSpec LOG_SPEC = OptionSpec.of(LOG, "HOST:PORT", "address of the platform's log");
    private static final OptionSpec TIMEOUT_SPEC =
            OptionSpec.of(TIMEOUT, "DURATION", "15s", "timeout of requests to the log");
    private static final OptionSet CHECK = new OptionSet("config check", "DIR", List.of());
    private static final OptionSet SHOW = new OptionSet("config show", "", List.of(LOG_SPEC, TIMEOUT_SPEC));
    private static final OptionSet HISTORY = new OptionSet("config history", "", List.of(LOG_SPEC, TIMEOUT_SPEC));
    private static final OptionSet PUBLISH = new OptionSet(
            "config publish",
            "DIR",
            List.of(
                    LOG_SPEC,
                    TIMEOUT_SPEC,
                    OptionSpec.of(
                            OPERATOR,
                            "NAME",
                            System.getProperty("user.name", "unknown"),
                            "name recorded as the publisher"),
                    OptionSpec.of(BASE, "VERSION", "publish only if this is the current version")));

    private final Supplier<EventLog.Factory> logFactory;

    /** Creates the command with the log protocol from the registered plugins. */
    public ConfigCommand() {
        this(() -> ServiceLoaderRegistry.load()
                .find(EventLog.Factory.class, LOG_PROTOCOL)
                .orElseThrow(() -> Reporter.missingPlugin("log protocol '" + LOG_PROTOCOL + "'")));
    }

    ConfigCommand(Supplier<EventLog.Factory> logFactory) {
        this.logFactory = logFactory;
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "checks, publishes or shows the configuration: check, publish, show, history";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        String subcommand = arguments.isEmpty() ? "" : arguments.get(0);
        List<String> rest = arguments.isEmpty() ? arguments : arguments.subList(1, arguments.size());
        return switch (subcommand) {
            case "check" -> CHECK.run(rest, out, err, values -> check(values, out));
            case "publish" -> PUBLISH.run(rest, out, err, values -> publish(values, out, err));
            case "show" -> SHOW.run(rest, out, err, values -> show(values, out));
            case "history" -> HISTORY.run(rest, out, err, values -> history(values, out));
            case "--help" -> printUsage(out, EXIT_OK);
            default -> printUsage(err, EXIT_USAGE);
        };
    }

    private static int printUsage(PrintStream stream, int exitCode) {
        stream.println("Usage: poplarwharf config check DIR | publish DIR | show | history");
        stream.println("See poplarwharf config COMMAND --help for options.");
        return exitCode;
    }

    private static int check(OptionValues values, PrintStream out) {
        MergeResult merged = validate(readFolder(values));
        out.println("valid: " + summarize(merged.config()));
        return EXIT_OK;
    }

    private static String summarize(FleetConfig config) {
        int adapters =
                config.models().stream().mapToInt(m -> m.adapters().size()).sum();
        return config.cells().size() + " cells, " + config.targets().size() + " targets, "
                + config.models().size() + " models, " + adapters + " adapters, "
                + config.services().size() + " services, " + config.classes().size() + " classes, "
                + config.tenants().size() + " tenants";
    }

    private static TreeMap<String, String> readFolder(OptionValues values) {
        List<String> operands = values.operands();
        if (operands.size() != 1) {
            throw Reporter.settingsInvalid(List.of("expected exactly one configuration directory"));
        }
        values.throwIfInvalid();
        return ConfigDirectory.read(operands.get(0));
    }

    private static MergeResult validate(TreeMap<String, String> contents) {
        MergeResult merged = ConfigMerger.merge(0, contents);
        if (!merged.errors().isEmpty()) {
            throw Reporter.configInvalid(merged.errorLines());
        }
        return merged;
    }

    private int publish(OptionValues values, PrintStream out, PrintStream err) {
        String operator = values.text(OPERATOR);
        Optional<String> base = values.optionalText(BASE);
        values.address(LOG);
        values.durationMillis(TIMEOUT);
        TreeMap<String, String> contents = readFolder(values);
        validate(contents);
        try (ConfigClient session = open(values)) {
            // Compute the changes before reading the version: a change published in between then causes a rejection
            // instead of being overwritten.
            List<FileChange> changes = session.diff(contents);
            long currentVersion = session.config().version();
            if (base.isPresent() && !base.get().equals(Long.toString(currentVersion))) {
                err.println("refused: the current version is " + currentVersion + ", not " + base.get()
                        + "; see config history, then publish again.");
                return EXIT_FAILED;
            }
            if (changes.isEmpty()) {
                out.println("nothing to change: the current version is " + currentVersion);
                return EXIT_OK;
            }
            changes.forEach(change -> out.println("  " + describe(change)));
            return printResult(session.publish(operator, changes), out, err);
        }
    }

    private static String describe(FileChange change) {
        if (change.content().isEmpty()) {
            return "- " + change.name() + ", version " + change.replacesVersion();
        }
        return change.replacesVersion() == NO_PREVIOUS_VERSION
                ? "+ " + change.name()
                : "~ " + change.name() + ", version " + change.replacesVersion();
    }

    private static int printResult(ApplyResult applied, PrintStream out, PrintStream err) {
        if (applied.accepted()) {
            out.println("accepted: version " + applied.offset() + " is now current");
            return EXIT_OK;
        }
        err.println("refused: " + applied.reason());
        return EXIT_FAILED;
    }

    private int show(OptionValues values, PrintStream out) {
        try (ConfigClient session = open(values)) {
            YAMLMapper mapper = new YAMLMapper();
            mapper.registerModule(new Jdk8Module());
            out.print(mapper.writeValueAsString(session.config()));
            return EXIT_OK;
        } catch (JsonProcessingException e) {
            throw Reporter.internal("Printing the configuration", e);
        }
    }

    private int history(OptionValues values, PrintStream out) {
        try (ConfigClient session = open(values)) {
            for (DecidedChange decided : session.history()) {
                ApplyResult applied = decided.applied();
                String result = applied.accepted() ? "accepted" : "refused: " + applied.reason();
                out.println(applied.offset() + " " + decided.change().operator() + " " + result);
                decided.change().files().forEach(file -> out.println("  " + describe(file)));
            }
            return EXIT_OK;
        }
    }

    private ConfigClient open(OptionValues values) {
        String address = values.address(LOG);
        long timeoutMillis = values.durationMillis(TIMEOUT);
        values.throwIfInvalid();
        return ConfigClient.open(logFactory.get(), address, timeoutMillis);
    }
}
