package org.poplarwharf.internal.gateway;

/** A request cannot be read since the node holds too much for its callers. Immutable and thread-safe. */
final class MemoryShortageException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MemoryShortageException() {
        super("no memory for more requests", null, false, false);
    }
}
