package org.poplarwharf;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass.Predicates;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.cli.Command;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.Role;
import org.poplarwharf.plugins.Plugin;

/** The import rules of docs/ARCHITECTURE.md. */
class ArchitectureTest {
    private static final String INTERNAL = "org.poplarwharf.internal.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.poplarwharf");
    /** The rooms whose classes take part in a node's work. */
    private static final String[] ROLES =
            rooms("admin", "admission", "cell", "claim", "config", "entry", "log", "peer", "place", "state", "target");

    /** What the rooms below the roles, and the narrower roles, may use beside public types and libraries. */
    private static final Map<String, List<String>> USES = Map.ofEntries(
            Map.entry("failure", List.of()),
            Map.entry("codec", List.of("failure")),
            Map.entry("kernel", List.of("failure")),
            Map.entry("routing", List.of("failure")),
            Map.entry("idle", List.of("failure")),
            Map.entry("target", List.of("failure", "kernel")),
            Map.entry("protocol", List.of("codec", "failure", "kernel")),
            Map.entry("fleet", List.of()),
            Map.entry("http", List.of()),
            Map.entry("topic", List.of()),
            Map.entry("lease", List.of("failure", "topic")),
            Map.entry("dispatch", List.of("fleet")),
            Map.entry("gateway", List.of("dispatch", "failure", "fleet", "http", "kernel", "topic")),
            Map.entry(
                    "holder",
                    List.of(
                            "admin",
                            "codec",
                            "dispatch",
                            "failure",
                            "fleet",
                            "gateway",
                            "http",
                            "kernel",
                            "lease",
                            "topic")),
            Map.entry("platform", List.of("dispatch", "failure", "fleet", "gateway", "holder", "http", "topic")),
            Map.entry("log", List.of("codec", "failure", "kernel")),
            Map.entry("state", List.of("codec", "failure", "log")),
            Map.entry("config", List.of("codec", "failure", "kernel", "log", "peer")),
            Map.entry("peer", List.of("admission", "codec", "config", "failure", "kernel")),
            Map.entry("place", List.of("admission", "cell", "config", "failure", "kernel", "log", "peer")),
            Map.entry("standin", List.of("cli", "codec", "failure", "kernel")));

    private static final String[] ROOMS = {
        "org.poplarwharf",
        "org.poplarwharf.plugins..",
        room("admin"),
        room("admission"),
        room("cell"),
        room("claim"),
        room("cli"),
        room("codec"),
        room("config"),
        room("dispatch"),
        room("entry"),
        room("failure"),
        room("fleet"),
        room("gateway"),
        room("holder"),
        room("http"),
        room("idle"),
        room("kernel"),
        room("lease"),
        room("load"),
        room("log"),
        room("peer"),
        room("place"),
        room("platform"),
        room("protocol"),
        room("routing"),
        room("standin"),
        room("state"),
        room("target"),
        room("topic"),
    };

    @Test
    void every_type_is_in_a_known_room() {
        check(classes().should().resideInAnyPackage(ROOMS));
    }

    @Test
    void plugin_interfaces_need_nothing_internal() {
        check(noClasses()
                .that()
                .resideInAPackage("org.poplarwharf.plugins..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(INTERNAL + "."));
    }

    @Test
    void each_of_the_lower_rooms_uses_only_what_it_may() {
        USES.forEach((user, used) -> check(noClasses()
                .that()
                .resideInAPackage(room(user))
                .should()
                .dependOnClassesThat(Predicates.resideInAPackage(INTERNAL + ".")
                        .and(Predicates.resideOutsideOfPackage(room(user)))
                        .and(Predicates.resideOutsideOfPackages(rooms(used.toArray(String[]::new)))))));
    }

    @Test
    void standins_and_load_generator_are_used_by_commands_only() {
        check(noClasses()
                .that()
                .resideOutsideOfPackages(rooms("standin", "load", "cli"))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(room("standin")));
    }

    @Test
    void roles_use_no_command() {
        check(noClasses()
                .that()
                .resideInAnyPackage(ROLES)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(room("cli")));
    }

    @Test
    void entry_and_admin_are_used_by_no_role() {
        for (String room : List.of("entry", "admin")) {
            check(noClasses()
                    .that()
                    .resideInAnyPackage(ROLES)
                    .and()
                    .resideOutsideOfPackage(room(room))
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(room(room)));
        }
    }

    @Test
    void commands_end_with_command() {
        check(classes().that().implement(Command.class).should().haveSimpleNameEndingWith("Command"));
    }

    @Test
    void roles_and_plugins_are_named_for_what_they_are() {
        check(classes()
                .that()
                .implement(Plugin.class)
                .should()
                .haveSimpleNameEndingWith("Plugin")
                .andShould()
                .notImplement(Role.class));
    }

    @Test
    void no_class_starts_a_process() {
        check(noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ProcessBuilder.class, Process.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String[].class));
    }

    @Test
    void only_the_reporter_makes_failures() {
        check(noClasses()
                .that()
                .areNotAssignableTo(Reporter.class)
                .should()
                .callConstructor(
                        PoplarWharfException.class, FailureCode.class, String.class, long.class, Throwable.class));
    }

    private static void check(ArchRule rule) {
        rule.check(CLASSES);
    }

    private static String room(String name) {
        return INTERNAL + name + "..";
    }

    private static String[] rooms(String... names) {
        return Arrays.stream(names).map(ArchitectureTest::room).toArray(String[]::new);
    }
}
