package org.poplarwharf.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since its creation. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8d ", nowMillis()) + String.format(Locale.ROOT, format, arguments);
        file.println(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
