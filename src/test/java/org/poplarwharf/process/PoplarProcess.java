package org.poplarwharf.process;

import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

/**
 * A process of the binary under test whose output is written to files. Thread-safe.
 */
public final class PoplarProcess implements AutoCloseable {
    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long EXIT_TIMEOUT_SECONDS = 30;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final Process process;
    private final String name;
    private final Path errors;
    private final CompletableFuture<ListeningAddresses> listeningAddresses = new CompletableFuture<>();
    private final Thread reader;

    private PoplarProcess(String name, Process process, Path output, Path errors) {
        this.name = name;
        this.process = process;
        this.errors = errors;
        reader = new Thread(() -> readOutput(output), "output-of-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a process. Its output goes to the files {@code name.out} and {@code name.err} in the folder. */
    public static PoplarProcess start(Path folder, String name, List<String> arguments) {
        return start(folder, name, new ProcessBuilder(commandLine(List.of(), arguments)));
    }

    /** Starts a process as above, with limits of its own. */
    static PoplarProcess start(Path folder, String name, List<String> arguments, ProcessLimits limits) {
        ProcessBuilder builder = new ProcessBuilder(commandLine(limits.launcher(), arguments));
        builder.environment().put("JAVA_TOOL_OPTIONS", limits.javaOptions());
        return start(folder, name, builder);
    }

    private static List<String> commandLine(List<String> launcher, List<String> arguments) {
        return Stream.of(launcher, BinaryUnderTest.command(), arguments)
                .flatMap(List::stream)
                .toList();
    }

    private static PoplarProcess start(Path folder, String name, ProcessBuilder builder) {
        Path errors = folder.resolve(name + ".err");
        try {
            Process process = builder.redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                    .start();
            return new PoplarProcess(name, process, folder.resolve(name + ".out"), errors);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs a command, waits for it to exit and returns its exit code and output. */
    public static ExitResult run(Path folder, String name, List<String> arguments) {
        try (PoplarProcess started = start(folder, name, arguments)) {
            int exitCode = started.awaitExit();
            started.reader.join();
            return new ExitResult(
                    exitCode, Files.readString(folder.resolve(name + ".out")), Files.readString(started.errors));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until the process prints the addresses that it listens on, and returns them. */
    public ListeningAddresses awaitListening() {
        try {
            return listeningAddresses.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(name + " is not listening; error output: " + errorOutput(), e);
        }
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the process to exit. */
    public void kill() {
        signal("KILL");
        awaitExit();
    }

    /** Suspends the process with SIGSTOP until {@link #resume} is called. */
    public void pause() {
        signal("STOP");
    }

    public void resume() {
        signal("CONT");
    }

    /** Sends SIGTERM, which asks the process to shut down. */
    public void terminate() {
        signal("TERM");
    }

    /** Sends SIGHUP, on which the process reloads its settings. */
    public void signalReload() {
        signal("HUP");
    }

    /** Sends SIGHUP, unless the process has ended. */
    public void signalReloadIfRunning() {
        trySignal("HUP");
    }

    /** Waits for the process to exit and returns its exit code. */
    public int awaitExit() {
        eventually(name + " has ended", () -> !process.isAlive());
        return process.exitValue();
    }

    /** Returns what the process has written to its error output. */
    public String errorOutput() {
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
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void signal(String signal) {
        if (!trySignal(signal)) {
            throw new AssertionError("failed to send " + signal + " to " + name);
        }
    }

    /** Sends a signal and returns whether there is still a process to receive it. */
    private boolean trySignal(String signal) {
        try {
            Process kill = new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(pid())).start();
            return kill.waitFor() == 0;
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
                parse(line).filter(ListeningAddresses::isListeningEvent).ifPresent(listeningAddresses::complete);
            }
            listeningAddresses.completeExceptionally(new IllegalStateException(name + " has ended"));
        } catch (IOException e) {
            listeningAddresses.completeExceptionally(e);
        }
    }

    private static Optional<ListeningAddresses> parse(String line) {
        try {
            return line.startsWith("{")
                    ? Optional.of(MAPPER.readValue(line, ListeningAddresses.class))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * The addresses that a process prints when it is ready for connections. An address that it doesn't have is null.
     *
     * @param address where clients of a stand-in connect
     * @param listen where callers of a node connect
     * @param peer where other nodes connect
     */
    public record ListeningAddresses(String event, String address, String listen, String peer, String admin) {
        boolean isListeningEvent() {
            return "listening".equals(event);
        }
    }

    /** The exit code and output of a command. */
    public record ExitResult(int exitCode, String output, String errors) {}
}
