package org.poplarwharf.internal.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.TreeMap;
import org.poplarwharf.internal.failure.Reporter;

/** Reads an operator's folder of configuration files. Stateless and thread-safe. */
public final class ConfigFolder {
    private ConfigFolder() {}

    /** Returns the contents of the folder's YAML files by name; other files are left alone. */
    public static TreeMap<String, String> read(String folder) {
        TreeMap<String, String> contents = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of(folder))) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (ConfigNames.validFile(name) && Files.isRegularFile(file)) {
                    contents.put(name, Files.readString(file, StandardCharsets.UTF_8));
                }
            }
        } catch (IOException | InvalidPathException e) {
            throw Reporter.configUnreadable(folder, e);
        }
        if (contents.isEmpty()) {
            throw Reporter.configUnreadable(folder, null);
        }
        return contents;
    }
}
