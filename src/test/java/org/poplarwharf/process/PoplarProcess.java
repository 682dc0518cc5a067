package org.poplarwharf.process;

import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A process of the binary, started by a test, with its output kept in files. Thread-safe.
 */
public final class PoplarProcess implements AutoCloseable {
    private static final long START_LIMIT_SECONDS = 30;
    private static final long EXIT_LIMIT_SECONDS = 30;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final Process process;
    private final String name;
    private final Path errors;
    private final CompletableFuture<Listening> listening = new CompletableFuture<>();
    private final Thread reader;

    private PoplarProcess(String name, Process process, Path output, Path errors) {
        this.name = name;
        this.process = process;
        this.errors = errors;
        reader = new Thread(() -> readOutput(output), "output-of-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a process; its output goes to files of this name in the folder. */
    public static PoplarProcess start(Path folder, String name, List<String> arguments) {
        Path errors = folder.resolve(name + ".err");
        List<String> command = new ArrayList<>(Binary.command());
        command.addAll(arguments);
        try {
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                    .start();
            return new PoplarProcess(name, process, folder.resolve(name + ".out"), errors);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs a command to its end and returns its exit code and output. */
    public static Ended run(Path folder, String name, List<String> arguments) {
        try (PoplarProcess started = start(folder, name, arguments)) {
            int exitCode = started.awaitExit();
            started.reader.join();
            return new Ended(
                    exitCode, Files.readString(folder.resolve(name + ".out")), Files.readString(started.errors));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits for the line that tells the addresses and returns it. */
    public Listening listening() {
        try {
            return listening.get(START_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(name + " is not listening; its errors: " + errorText(), e);
        }
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills without warning and waits for the end. */
    public void kill() {
        signal("KILL");
        awaitExit();
    }

    /** Stops the process until {@link #resume}. */
    public void pause() {
        signal("STOP");
    }

    public void resume() {
        signal("CONT");
    }

    /** Asks the process to end. */
    public void terminate() {
        signal("TERM");
    }

    /** Tells the process that its settings have changed. */
    public void hangUp() {
        signal("HUP");
    }

    /** Waits for the end and returns the exit code. */
    public int awaitExit() {
        eventually(name + " has ended", () -> !process.isAlive());
        return process.exitValue();
    }

    /** Returns what the process wrote to its error output. */
    public String errorText() {
        try {
            return Files.exists(errors) ? Files.readString(errors) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(pid())).start();
            if (kill.waitFor() != 0) {
                throw new AssertionError("can't send " + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void readOutput(Path output) {
        try (BufferedReader reader = process.inputReader();
                var writer = Files.newBufferedWriter(output)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                writer.write(line + "\n");
                writer.flush();
                parse(line).filter(Listening::told).ifPresent(listening::complete);
            }
            listening.completeExceptionally(new IllegalStateException(name + " has ended"));
        } catch (IOException e) {
            listening.completeExceptionally(e);
        }
    }

    private static Optional<Listening> parse(String line) {
        try {
            return line.startsWith("{") ? Optional.of(MAPPER.readValue(line, Listening.class)) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * The addresses of a process, as it prints them; those that it lacks are null.
     *
     * @param address where clients of a stand-in connect
     * @param listen where callers of a node connect
     * @param peer where other nodes connect
     */
    public record Listening(String event, String address, String listen, String peer, String admin) {
        boolean told() {
            return "listening".equals(event);
        }
    }

    /** How a command ended. */
    public record Ended(int exitCode, String output, String errors) {}
}
