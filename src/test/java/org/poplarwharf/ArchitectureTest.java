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

/** Checks the dependency rules of docs/ARCHITECTURE.md on the compiled classes. */
class ArchitectureTest {
    private static final String INTERNAL = "org.poplarwharf.internal.";
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.poplarwharf");
    /** The packages whose classes implement the roles of a node. */
    private static final String[] ROLE_PACKAGES = packages(
            "admin", "admission", "cell", "claim", "config", "entry", "log", "peer", "place", "state", "target");

    /**
     * The internal packages that a package may use, for packages below the roles and for roles with few dependencies.
     * Public types and libraries are always allowed.
     */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
            Map.entry("failure", List.of()),
            Map.entry("codec", List.of("failure")),
            Map.entry("kernel", List.of("failure")),
            Map.entry("routing", List.of("failure")),
            Map.entry("idle", List.of("failure")),
            Map.entry("target", List.of("failure", "kernel", "response")),
            Map.entry("protocol", List.of("codec", "failure", "kernel", "response")),
            Map.entry("crash", List.of("fleet", "kernel", "topic")),
            Map.entry("fleet", List.of()),
            Map.entry("http", List.of("response")),
            Map.entry("response", List.of()),
            Map.entry("topic", List.of()),
            Map.entry("lease", List.of("failure", "topic")),
            Map.entry("limit", List.of()),
            Map.entry("stream", List.of()),
            Map.entry("dispatch", List.of("fleet", "limit", "stream")),
            Map.entry(
                    "gateway",
                    List.of("crash", "dispatch", "failure", "fleet", "http", "kernel", "limit", "stream", "topic")),
            Map.entry(
                    "holder",
                    List.of(
                            "admin",
                            "quota",
                            "codec",
                            "crash",
                            "dispatch",
                            "failure",
                            "fleet",
                            "gateway",
                            "http",
                            "kernel",
                            "lease",
                            "limit",
                            "stream",
                            "topic")),
            Map.entry("platform", List.of("dispatch", "failure", "fleet", "gateway", "holder", "http", "topic")),
            Map.entry("quota", List.of("fleet")),
            Map.entry("simulation", List.of("dispatch", "fleet", "limit")),
            Map.entry("log", List.of("codec", "failure", "kernel")),
            Map.entry("state", List.of("codec", "failure", "log")),
            Map.entry("config", List.of("codec", "failure", "kernel", "log", "peer")),
            Map.entry("peer", List.of("admission", "codec", "config", "failure", "kernel")),
            Map.entry("place", List.of("admission", "cell", "config", "crash", "failure", "kernel", "log", "peer")),
            Map.entry("standin", List.of("cli", "codec", "failure", "kernel")));

    private static final String[] KNOWN_PACKAGES = {
        "org.poplarwharf",
        "org.poplarwharf.plugins..",
        packageOf("admin"),
        packageOf("admission"),
        packageOf("quota"),
        packageOf("cell"),
        packageOf("claim"),
        packageOf("cli"),
        packageOf("codec"),
        packageOf("config"),
        packageOf("crash"),
        packageOf("dispatch"),
        packageOf("entry"),
        packageOf("failure"),
        packageOf("fleet"),
        packageOf("gateway"),
        packageOf("holder"),
        packageOf("http"),
        packageOf("idle"),
        packageOf("kernel"),
        packageOf("lease"),
        packageOf("limit"),
        packageOf("load"),
        packageOf("log"),
        packageOf("peer"),
        packageOf("place"),
        packageOf("platform"),
        packageOf("protocol"),
        packageOf("response"),
        packageOf("routing"),
        packageOf("simulation"),
        packageOf("standin"),
        packageOf("state"),
        packageOf("stream"),
        packageOf("target"),
        packageOf("topic"),
    };

    @Test
    void every_type_is_in_a_known_package() {
        check(classes().should().resideInAnyPackage(KNOWN_PACKAGES));
    }

    @Test
    void plugin_interfaces_do_not_depend_on_internal_packages() {
        check(noClasses()
                .that()
                .resideInAPackage("org.poplarwharf.plugins..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(INTERNAL + "."));
    }

    @Test
    void packages_use_only_their_allowed_dependencies() {
        ALLOWED_DEPENDENCIES.forEach((user, allowed) -> check(noClasses()
                .that()
                .resideInAPackage(packageOf(user))
                .should()
                .dependOnClassesThat(Predicates.resideInAPackage(INTERNAL + ".")
                        .and(Predicates.resideOutsideOfPackage(packageOf(user)))
                        .and(Predicates.resideOutsideOfPackages(packages(allowed.toArray(String[]::new)))))));
    }

    @Test
    void only_commands_and_the_load_generator_use_standins() {
        check(noClasses()
                .that()
                .resideOutsideOfPackages(packages("standin", "load", "cli"))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(packageOf("standin")));
    }

    @Test
    void roles_do_not_use_commands() {
        check(noClasses()
                .that()
                .resideInAnyPackage(ROLE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(packageOf("cli")));
    }

    @Test
    void no_role_uses_entry_or_admin() {
        for (String name : List.of("entry", "admin")) {
            check(noClasses()
                    .that()
                    .resideInAnyPackage(ROLE_PACKAGES)
                    .and()
                    .resideOutsideOfPackage(packageOf(name))
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(packageOf(name)));
        }
    }

    @Test
    void names_of_commands_end_with_command() {
        check(classes().that().implement(Command.class).should().haveSimpleNameEndingWith("Command"));
    }

    @Test
    void names_of_plugins_end_with_plugin_and_no_plugin_is_a_role() {
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
    void only_the_reporter_creates_failures() {
        check(noClasses()
                .that()
                .areNotAssignableTo(Reporter.class)
                .should()
                .callConstructor(
                        PoplarWharfException.class, FailureCode.class, String.class, long.class, Throwable.class));
    }

    private static void check(ArchRule rule) {
        rule.check(MAIN_CLASSES);
    }

    private static String packageOf(String name) {
        return INTERNAL + name + "..";
    }

    private static String[] packages(String... names) {
        return Arrays.stream(names).map(ArchitectureTest::packageOf).toArray(String[]::new);
    }
}
