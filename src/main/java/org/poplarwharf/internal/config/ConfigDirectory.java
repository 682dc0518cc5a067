package org.poplarwharf.internal.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.TreeMap;
import org.poplarwharf.internal.failure.Reporter;

/** Reads a directory of configuration files. Stateless and thread-safe. */
public final class ConfigDirectory {
    private ConfigDirectory() {}

    /** Returns the contents of the YAML files in the directory, by file name. Other files are ignored. */
    public static TreeMap<String, String> read(String directory) {
        TreeMap<String, String> contents = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of(directory))) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (ConfigNames.isValidFileName(name) && Files.isRegularFile(file)) {
                    contents.put(name, Files.readString(file, StandardCharsets.UTF_8));
                }
            }
        } catch (IOException | InvalidPathException e) {
            throw Reporter.configUnreadable(directory, e);
        }
        if (contents.isEmpty()) {
            throw Reporter.configUnreadable(directory, null);
        }
        return contents;
    }
}
