package org.poplarwharf.internal.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.JarURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.poplarwharf.internal.config.ConfigMerger;
import org.poplarwharf.internal.config.ConfigMerger.MergeResult;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;

/**
 * An example configuration, read from {@code examples} in the working directory or from the binary.
 *
 * <p>Immutable and thread-safe.
 */
record ExampleConfig(TreeMap<String, String> files, FleetConfig config) {
    private static final String EXAMPLES_PATH = "examples/";
    private static final String YAML_SUFFIX = ".yaml";
    private static final long NO_VERSION = -1;

    /** Loads the example with a name. */
    static ExampleConfig load(String name) {
        String folder = EXAMPLES_PATH + name;
        try {
            return of(folder, Files.isDirectory(Path.of(folder)) ? readDirectory(folder) : readJar(folder));
        } catch (IOException e) {
            throw Reporter.exampleUnreadable(folder, e);
        }
    }

    /** Returns a copy with a function applied to the content of each file. */
    ExampleConfig withEditedFiles(UnaryOperator<String> edit) {
        TreeMap<String, String> edited = new TreeMap<>(files);
        edited.replaceAll((name, content) -> edit.apply(content));
        return of("edited", edited);
    }

    private static ExampleConfig of(String folder, TreeMap<String, String> files) {
        MergeResult merged = ConfigMerger.merge(NO_VERSION, files);
        if (files.isEmpty() || !merged.errors().isEmpty()) {
            throw Reporter.exampleUnreadable(folder + " " + merged.errorLines(), null);
        }
        return new ExampleConfig(files, merged.config());
    }

    private static TreeMap<String, String> readDirectory(String folder) throws IOException {
        TreeMap<String, String> files = new TreeMap<>();
        try (DirectoryStream<Path> paths = Files.newDirectoryStream(Path.of(folder), "*" + YAML_SUFFIX)) {
            for (Path path : paths) {
                files.put(path.getFileName().toString(), Files.readString(path));
            }
        }
        return files;
    }

    private static TreeMap<String, String> readJar(String name) throws IOException {
        TreeMap<String, String> files = new TreeMap<>();
        URL folder = ExampleConfig.class.getClassLoader().getResource(name);
        if (folder == null || !(folder.openConnection() instanceof JarURLConnection connection)) {
            return files;
        }
        try (JarFile jar = connection.getJarFile()) {
            for (JarEntry entry : jar.stream().toList()) {
                if (entry.getName().startsWith(name + "/") && entry.getName().endsWith(YAML_SUFFIX)) {
                    String file = entry.getName().substring(name.length() + 1);
                    files.put(file, readEntry(jar, entry));
                }
            }
        }
        return files;
    }

    private static String readEntry(JarFile jar, JarEntry entry) throws IOException {
        try (InputStream content = jar.getInputStream(entry)) {
            return new String(content.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
