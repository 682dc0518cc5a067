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
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.poplarwharf.internal.config.ConfigMerge;
import org.poplarwharf.internal.config.ConfigMerge.Merged;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The example configuration that quickstart publishes, from the folder beside the working folder or from the binary.
 *
 * <p>Immutable and thread-safe.
 */
record QuickstartExample(TreeMap<String, String> files, FleetConfig config) {
    private static final String FOLDER = "examples/quickstart";
    private static final String SUFFIX = ".yaml";
    private static final long NO_VERSION = -1;

    static QuickstartExample load() {
        try {
            TreeMap<String, String> files = Files.isDirectory(Path.of(FOLDER)) ? fromFolder() : fromBinary();
            Merged merged = ConfigMerge.merge(NO_VERSION, files);
            if (files.isEmpty() || !merged.faults().isEmpty()) {
                throw Reporter.exampleMissing(FOLDER + " " + merged.faultLines(), null);
            }
            return new QuickstartExample(files, merged.config());
        } catch (IOException e) {
            throw Reporter.exampleMissing(FOLDER, e);
        }
    }

    private static TreeMap<String, String> fromFolder() throws IOException {
        TreeMap<String, String> files = new TreeMap<>();
        try (DirectoryStream<Path> paths = Files.newDirectoryStream(Path.of(FOLDER), "*" + SUFFIX)) {
            for (Path path : paths) {
                files.put(path.getFileName().toString(), Files.readString(path));
            }
        }
        return files;
    }

    private static TreeMap<String, String> fromBinary() throws IOException {
        TreeMap<String, String> files = new TreeMap<>();
        URL folder = QuickstartExample.class.getClassLoader().getResource(FOLDER);
        if (folder == null || !(folder.openConnection() instanceof JarURLConnection connection)) {
            return files;
        }
        try (JarFile jar = connection.getJarFile()) {
            for (JarEntry entry : jar.stream().toList()) {
                if (entry.getName().startsWith(FOLDER + "/") && entry.getName().endsWith(SUFFIX)) {
                    String name = entry.getName().substring(FOLDER.length() + 1);
                    files.put(name, read(jar, entry));
                }
            }
        }
        return files;
    }

    private static String read(JarFile jar, JarEntry entry) throws IOException {
        try (InputStream content = jar.getInputStream(entry)) {
            return new String(content.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
