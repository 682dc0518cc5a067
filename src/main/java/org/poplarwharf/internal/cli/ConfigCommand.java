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
 * {@code poplarwharf config}: checks, publishes and shows the configuration. Stateless and thread-safe.
 */
public final class ConfigCommand implements Command {
    private static final String LOG_PROTOCOL = "http";
    private static final String LOG = "log";
    private static final String OPERATOR = "operator";
    private static final String BASE = "base";
    private static final String TIMEOUT = "timeout";
    private static final long NEW_FILE = -1;
    private static final OptionSpec LOG_SPEC = OptionSpec.of(LOG, "HOST:PORT", "the platform's log");
    private static final OptionSpec TIMEOUT_SPEC =
            OptionSpec.of(TIMEOUT, "DURATION", "15s", "how long to wait for the log");
    private static final OptionSet CHECK = new OptionSet("config check", "DIR", List.of());
    private static final OptionSet SHOW = new OptionSet("config show", "", List.of(LOG_SPEC, TIMEOUT_SPEC));
    private static final OptionSet HISTORY = new OptionSet("config history", "", List.of(LOG_SPEC, TIMEOUT_SPEC));
    private static final OptionSet PUBLISH = new OptionSet(
            "config publish",
            "DIR",
            List.of(
                    LOG_SPEC,
                    TIMEOUT_SPEC,
                    OptionSpec.of(OPERATOR, "NAME", System.getProperty("user.name", "unknown"), "who publishes"),
                    OptionSpec.of(BASE, "VERSION", "publish only while this version is in force")));

    private final Supplier<EventLog.Factory> logs;

    /** Creates the command over the log protocol that the plug-ins bring. */
    public ConfigCommand() {
        this(() -> ServiceLoaderRegistry.load()
                .find(EventLog.Factory.class, LOG_PROTOCOL)
                .orElseThrow(() -> Reporter.missingPlugin("log protocol '" + LOG_PROTOCOL + "'")));
    }

    ConfigCommand(Supplier<EventLog.Factory> logs) {
        this.logs = logs;
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "check, publish, show or history: works with the configuration";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        String word = arguments.isEmpty() ? "" : arguments.get(0);
        List<String> rest = arguments.isEmpty() ? arguments : arguments.subList(1, arguments.size());
        return switch (word) {
            case "check" -> CHECK.run(rest, out, err, values -> check(values, out));
            case "publish" -> PUBLISH.run(rest, out, err, values -> publish(values, out, err));
            case "show" -> SHOW.run(rest, out, err, values -> show(values, out));
            case "history" -> HISTORY.run(rest, out, err, values -> history(values, out));
            case "--help" -> usage(out, EXIT_OK);
            default -> usage(err, EXIT_USAGE);
        };
    }

    private static int usage(PrintStream stream, int exitCode) {
        stream.println("Usage: poplarwharf config check DIR | publish DIR | show | history");
        stream.println("poplarwharf config WORD --help lists the options.");
        return exitCode;
    }

    private static int check(OptionValues values, PrintStream out) {
        MergeResult merged = checked(folder(values));
        out.println("valid: " + summaryOf(merged.config()));
        return EXIT_OK;
    }

    private static String summaryOf(FleetConfig config) {
        int adapters =
                config.models().stream().mapToInt(m -> m.adapters().size()).sum();
        return config.cells().size() + " cells, " + config.targets().size() + " targets, "
                + config.models().size() + " models, " + adapters + " adapters, "
                + config.services().size() + " services, " + config.classes().size() + " classes, "
                + config.tenants().size() + " tenants";
    }

    private static TreeMap<String, String> folder(OptionValues values) {
        List<String> operands = values.operands();
        if (operands.size() != 1) {
            throw Reporter.settingsInvalid(List.of("give one folder"));
        }
        values.check();
        return ConfigDirectory.read(operands.get(0));
    }

    private static MergeResult checked(TreeMap<String, String> contents) {
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
        TreeMap<String, String> contents = folder(values);
        checked(contents);
        try (ConfigClient session = open(values)) {
            // Before the version is read: a change that arrives in between is then refused, not undone.
            List<FileChange> changes = session.diff(contents);
            long versionInForce = session.config().version();
            if (base.isPresent() && !base.get().equals(Long.toString(versionInForce))) {
                err.println("refused: version " + versionInForce + " is in force, not " + base.get()
                        + "; look at config history and publish again.");
                return EXIT_FAILED;
            }
            if (changes.isEmpty()) {
                out.println("nothing to change: version " + versionInForce + " is in force");
                return EXIT_OK;
            }
            changes.forEach(change -> out.println("  " + describe(change)));
            return report(session.publish(operator, changes), out, err);
        }
    }

    private static String describe(FileChange change) {
        if (change.content().isEmpty()) {
            return "- " + change.name() + ", version " + change.replacesVersion();
        }
        return change.replacesVersion() == NEW_FILE
                ? "+ " + change.name()
                : "~ " + change.name() + ", version " + change.replacesVersion();
    }

    private static int report(ApplyResult applied, PrintStream out, PrintStream err) {
        if (applied.accepted()) {
            out.println("accepted: version " + applied.offset() + " is in force");
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
            throw Reporter.internal("the configuration", e);
        }
    }

    private int history(OptionValues values, PrintStream out) {
        try (ConfigClient session = open(values)) {
            for (DecidedChange decided : session.history()) {
                ApplyResult applied = decided.applied();
                String verdict = applied.accepted() ? "accepted" : "refused: " + applied.reason();
                out.println(applied.offset() + " " + decided.change().operator() + " " + verdict);
                decided.change().files().forEach(file -> out.println("  " + describe(file)));
            }
            return EXIT_OK;
        }
    }

    private ConfigClient open(OptionValues values) {
        String address = values.address(LOG);
        long timeoutMillis = values.durationMillis(TIMEOUT);
        values.check();
        return ConfigClient.open(logs.get(), address, timeoutMillis);
    }
}
