package org.poplarwharf.internal.response;

import java.util.Locale;
import java.util.Optional;

/**
 * The field lines of a head or of trailers (RFC 9112, section 5). Keeps the fields that delimit a body, and checks the
 * others only. Not thread-safe.
 */
final class FieldSection {
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";

    private final DelimiterField contentLength = new DelimiterField();
    private final DelimiterField transferEncoding = new DelimiterField();
    private Optional<DelimiterField> current = Optional.empty();
    private boolean hasField;

    /** A field that delimits a body: its value so far, and whether blanks follow the value. */
    private static final class DelimiterField {
        private Optional<String> value = Optional.empty();
        private boolean padded;

        private void append(String text) {
            String joined = value.map(previous -> previous + ' ' + text.strip()).orElse(text.strip());
            padded = !text.equals(text.stripTrailing());
            value = Optional.of(joined.strip());
        }
    }

    /** Adds a line that is not empty: a field, or a further line of the value of the field before. */
    void add(LineBuffer line) throws BrokenResponseException {
        if (Grammar.isBlank(line.at(0))) {
            addContinuation(line);
            return;
        }
        int nameEnd = Grammar.endOfToken(line, 0);
        if (nameEnd == line.length()) {
            throw new BrokenResponseException("field line without a colon");
        }
        if (nameEnd == 0 || line.at(nameEnd) != ':') {
            throw new BrokenResponseException("field name that is no token");
        }
        checkValue(line, nameEnd + 1);
        hasField = true;
        current = delimiterField(line.text(0, nameEnd).toLowerCase(Locale.ROOT));
        if (current.isEmpty()) {
            return;
        }
        if (current.get().value.isPresent()) {
            throw new BrokenResponseException("more than one field that delimits the body");
        }
        current.get().append(line.text(nameEnd + 1, line.length()));
    }

    private void addContinuation(LineBuffer line) throws BrokenResponseException {
        if (!hasField) {
            throw new BrokenResponseException("white space before the first field");
        }
        checkValue(line, 0);
        if (current.isPresent()) {
            current.get().append(line.text(0, line.length()));
            current.get().padded = true;
        }
    }

    private static void checkValue(LineBuffer line, int start) throws BrokenResponseException {
        if (!Grammar.isText(line, start, line.length())) {
            throw new BrokenResponseException("control byte in the value of a field");
        }
    }

    private Optional<DelimiterField> delimiterField(String name) {
        return switch (name) {
            case CONTENT_LENGTH -> Optional.of(contentLength);
            case TRANSFER_ENCODING -> Optional.of(transferEncoding);
            default -> Optional.empty();
        };
    }

    /** Returns the value of {@code Content-Length} without white space around it. */
    Optional<String> contentLength() {
        return contentLength.value;
    }

    /** Returns the value of {@code Transfer-Encoding} without white space around it. */
    Optional<String> transferEncoding() {
        return transferEncoding.value;
    }

    /** Returns whether {@code Transfer-Encoding} has more than its value: blanks after it, or further lines. */
    boolean isTransferEncodingPadded() {
        return transferEncoding.padded;
    }
}
