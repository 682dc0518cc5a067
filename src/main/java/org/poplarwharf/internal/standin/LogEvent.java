package org.poplarwharf.internal.standin;

/**
 * An append that the log stand-in stored. Immutable and thread-safe.
 *
 * @param offset the offset assigned to the record
 * @param answerLost whether a fault suppressed the response
 */
public record LogEvent(String stream, long offset, int sizeBytes, boolean answerLost) {}
