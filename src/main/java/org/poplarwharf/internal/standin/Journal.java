package org.poplarwharf.internal.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * The ordered events of a stand-in, kept in memory and optionally appended to a file as JSON lines, which survive a crash of
 * the process.
 *
 * <p>Invariant: an entry is written to the file before {@link #add} returns. Confined to one reactor thread.
 *
 * @param <E> the type of the events
 */
public final class Journal<E> {
    private final List<Entry<E>> entries = new ArrayList<>();
    private final MonotonicClock clock = MonotonicClock.system();
    private final Class<E> type;
    private final Optional<Path> file;

    /**
     * Creates an empty journal.
     *
     * @param type the type of the events
     * @param file the file to which JSON lines are appended, or empty for none
     */
    public Journal(Class<E> type, Optional<Path> file) {
        this.type = type;
        this.file = file;
    }

    /** Appends an event with the current time. */
    public void add(E event) {
        Entry<E> entry = new Entry<>(clock.nowMillis(), event);
        entries.add(entry);
        file.ifPresent(path -> appendLine(path, entry));
    }

    /** Returns a copy of all entries. */
    public List<Entry<E>> entries() {
        return List.copyOf(entries);
    }

    /** Returns all events without their times. */
    public List<E> events() {
        return entries.stream().map(Entry::event).toList();
    }

    byte[] json() {
        return StandinJson.writeEntries(entries, type);
    }

    private void appendLine(Path path, Entry<E> entry) {
        String line = new String(StandinJson.writeEntry(entry, type), StandardCharsets.UTF_8) + "\n";
        try {
            Files.writeString(path, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw Reporter.internal("Writing journal " + path, e);
        }
    }

    /**
     * An event with its monotonic time. Immutable and thread-safe.
     *
     * @param <E> the type of the event
     */
    public record Entry<E>(long atMillis, E event) {}
}
