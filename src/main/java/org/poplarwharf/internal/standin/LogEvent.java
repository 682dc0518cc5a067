package org.poplarwharf.internal.standin;

/**
 * An append that reached the log stand-in. Immutable and thread-safe.
 *
 * @param offset the offset that it got
 */
public record LogEvent(String stream, long offset, int sizeBytes, boolean answerLost) {}
