package org.poplarwharf;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass.Predicates;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Arrays;
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
        room("entry"),
        room("failure"),
        room("idle"),
        room("kernel"),
        room("load"),
        room("log"),
        room("peer"),
        room("place"),
        room("platform"),
        room("routing"),
        room("standin"),
        room("state"),
        room("target"),
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
    void failure_needs_only_the_public_types() {
        check(noClasses()
                .that()
                .resideInAPackage(room("failure"))
                .should()
                .dependOnClassesThat(Predicates.resideInAPackage(INTERNAL + ".")
                        .and(Predicates.resideOutsideOfPackage(room("failure")))));
    }

    @Test
    void codec_needs_only_failure() {
        check(noClasses()
                .that()
                .resideInAPackage(room("codec"))
                .should()
                .dependOnClassesThat(Predicates.resideInAPackage(INTERNAL + ".")
                        .and(Predicates.resideOutsideOfPackages(room("codec"), room("failure")))));
    }

    @Test
    void platform_ports_need_no_role() {
        check(noClasses()
                .that()
                .resideInAPackage(room("platform"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(rooms(
                        "admin",
                        "admission",
                        "cell",
                        "claim",
                        "cli",
                        "config",
                        "entry",
                        "peer",
                        "state",
                        "place",
                        "target")));
    }

    @Test
    void folded_state_needs_no_role() {
        check(noClasses()
                .that()
                .resideInAPackage(room("state"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(rooms(
                        "admin",
                        "admission",
                        "cell",
                        "claim",
                        "cli",
                        "entry",
                        "kernel",
                        "peer",
                        "platform",
                        "place",
                        "target")));
    }

    @Test
    void policies_need_only_plugin_interfaces() {
        check(noClasses()
                .that()
                .resideInAnyPackage(rooms("routing", "idle"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(rooms(
                        "admin",
                        "admission",
                        "cell",
                        "claim",
                        "cli",
                        "config",
                        "entry",
                        "log",
                        "peer",
                        "state",
                        "place",
                        "target")));
    }

    @Test
    void kernel_knows_no_role() {
        check(noClasses()
                .that()
                .resideInAPackage(room("kernel"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(rooms(
                        "admin",
                        "admission",
                        "cell",
                        "claim",
                        "cli",
                        "config",
                        "entry",
                        "log",
                        "peer",
                        "state",
                        "place",
                        "target")));
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
    void standins_use_no_role() {
        check(noClasses()
                .that()
                .resideInAPackage(room("standin"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        rooms("admin", "admission", "cell", "claim", "entry", "peer", "state", "place", "target")));
    }

    @Test
    void roles_use_no_command() {
        check(noClasses()
                .that()
                .resideInAnyPackage(rooms(
                        "admin", "admission", "cell", "claim", "entry", "peer", "log", "state", "place", "target"))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(room("cli")));
    }

    @Test
    void entry_and_admin_are_used_by_no_role() {
        check(noClasses()
                .that()
                .resideInAnyPackage(
                        rooms("admission", "cell", "claim", "config", "log", "peer", "state", "place", "target"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(rooms("entry", "admin")));
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
        rule.allowEmptyShould(true).check(CLASSES);
    }

    private static String room(String name) {
        return INTERNAL + name + "..";
    }

    private static String[] rooms(String... names) {
        return Arrays.stream(names).map(ArchitectureTest::room).toArray(String[]::new);
    }
}
