package org.poplarwharf.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The command that starts the binary: the packaged file where the build names one, else the compiled classes.
 */
final class Binary {
    private static final String PACKAGED = System.getProperty("poplarwharf.binary", "");

    private Binary() {}

    static List<String> command() {
        if (!PACKAGED.isEmpty() && Files.isExecutable(Path.of(PACKAGED))) {
            return List.of(PACKAGED);
        }
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("java.class.path");
        return List.of(java, "-XX:+UseSerialGC", "-cp", classPath, "org.poplarwharf.internal.cli.Main");
    }
}
