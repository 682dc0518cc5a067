package org.poplarwharf.internal.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import org.poplarwharf.internal.admin.StatusReport;

/** {@code poplarwharf status}: prints the status of a node and its cells. Stateless and thread-safe. */
public final class StatusCommand implements Command {
    private static final String ADMIN = "admin";
    private static final String ADMIN_TOKEN = "admin-token";
    private static final String TOKEN = "token";
    private static final String JSON = "json";
    private static final OptionSet OPTIONS = new OptionSet(
            "status",
            "",
            List.of(
                    OptionSpec.of(ADMIN, "HOST:PORT", "127.0.0.1:9080", "address of a node's administration API"),
                    OptionSpec.of(TOKEN, "TEXT", "token of the administration API, as in the node's --admin-token"),
                    OptionSpec.of(
                            ADMIN_TOKEN, "TEXT", "alias of --token; allows use of the node's environment variable"),
                    OptionSpec.toggle(JSON, "print the node's JSON instead of tables")));

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "shows the cells, placements, queues and configuration of a node";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return OPTIONS.run(arguments, out, err, values -> printStatus(values, out));
    }

    private static int printStatus(OptionValues values, PrintStream out) {
        String address = values.address(ADMIN);
        String token = values.optionalText(TOKEN)
                .orElseGet(() -> values.optionalText(ADMIN_TOKEN).orElse(""));
        values.require(!token.isEmpty(), TOKEN, "must be given");
        values.throwIfInvalid();
        StatusReport report = new AdminClient(address, token).status();
        if (values.isSet(JSON)) {
            out.println(new ObjectMapper().valueToTree(report).toString());
            return EXIT_OK;
        }
        StatusTables.print(report, out);
        return EXIT_OK;
    }
}
