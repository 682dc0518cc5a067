package org.poplarwharf.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The command that starts the binary under test: the packaged file if the build names one, else the compiled classes.
 */
final class BinaryUnderTest {
    private static final String PACKAGED_BINARY = System.getProperty("poplarwharf.binary", "");

    private BinaryUnderTest() {}

    static List<String> command() {
        if (!PACKAGED_BINARY.isEmpty() && Files.isExecutable(Path.of(PACKAGED_BINARY))) {
            return List.of(PACKAGED_BINARY);
        }
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("java.class.path");
        return List.of(java, "-XX:+UseSerialGC", "-cp", classPath, "org.poplarwharf.internal.cli.Main");
    }
}
